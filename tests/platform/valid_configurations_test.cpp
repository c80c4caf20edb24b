#include "platform/platform.h"

#include <cstdint>
#include <limits>

#include <nlohmann/json.hpp>

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

using nlohmann::json;

// The largest whole number that every JSON program can represent exactly.
constexpr std::int64_t maxExactInteger = 9'007'199'254'740'991;
constexpr std::int64_t maxMilliseconds = 3'600'000;

bool flip()
{
    return *rc::gen::arbitrary<bool>();
}

std::int64_t number(std::int64_t least, std::int64_t most)
{
    return *rc::gen::inRange<std::int64_t>(least, most);
}

// A whole number, in some cases with a fraction of zero, as programs write it that know only one type of number.
json wholeNumber(std::int64_t least, std::int64_t most)
{
    const std::int64_t value = number(least, most);
    return flip() ? json(value) : json(static_cast<double>(value));
}

// A number with or without a fraction.
json decimal(std::int64_t least, std::int64_t most)
{
    constexpr double parts = 1000.0;
    const std::int64_t value = number(least, most);
    return flip() ? json(value) : json(static_cast<double>(value) + static_cast<double>(number(0, 1000)) / parts);
}

std::string name()
{
    return *rc::gen::element<std::string>("plain", "a b", "\xc3\xa9", "");
}

// Adds the member, leaves it out or writes null.
void addOptional(json &object, const char *member, json value)
{
    switch (number(0, 3)) {
    case 0:
        break;
    case 1:
        object[member] = nullptr;
        break;
    default:
        object[member] = std::move(value);
    }
}

void addUnknown(json &object)
{
    addOptional(object, "unknown", json {{"nested", {1, "two", nullptr, {{"three", 3.5}}}}});
}

json listOf(const std::function<json()> &make)
{
    json list = json::array();
    for (std::int64_t count = number(0, 4); count > 0; --count) {
        list.push_back(make());
    }
    return list;
}

json split()
{
    return listOf([] {
        json target = {{"service", name()}};
        addOptional(target, "weight", decimal(0, 1000));
        addUnknown(target);
        return target;
    });
}

json route()
{
    json made = {{"name", name()},
                 {"host", name()},
                 {"path_prefix", "/" + name() + "/"},
                 {"kind", *rc::gen::element<std::string>("safe", "unsafe", "streaming", "of a later page")},
                 {"timeout_ms", decimal(0, maxMilliseconds)}};
    addOptional(made, "target_latency_ms", decimal(0, maxMilliseconds));
    addOptional(made, "gap_aim_ms", decimal(0, maxMilliseconds));
    addOptional(made, "priority", wholeNumber(0, 10));
    addOptional(made, "max_attempts", wholeNumber(0, 10));
    addOptional(made, "public", flip());
    addOptional(made, "resumable", flip());
    addOptional(made, "sticky", flip());
    addOptional(made, "service", name());
    addOptional(made, "split", split());
    addUnknown(made);
    return made;
}

json service()
{
    json made = {{"name", name()}};
    addOptional(made, "max_conns", wholeNumber(0, 100'000));
    addOptional(made, "cold_per_s", decimal(0, 1000));
    addOptional(made, "cold_start_s", decimal(0, 100));
    json engine = json::object();
    addOptional(engine, "slots", wholeNumber(1, 1000));
    addOptional(engine, "kv_capacity", wholeNumber(0, maxExactInteger));
    addUnknown(engine);
    addOptional(made, "engine", engine);
    addUnknown(made);
    return made;
}

json tenant()
{
    json made = {{"name", name()}};
    addOptional(made, "api_keys", listOf([] { return json(name()); }));
    addOptional(made, "priority", wholeNumber(0, 10));
    addOptional(made, "rate_per_s", decimal(0, maxExactInteger));
    addOptional(made, "burst", decimal(0, maxExactInteger));
    addOptional(made, "unit", *rc::gen::element<std::string>("tokens", "requests"));
    addOptional(made, "plain_tokens", wholeNumber(0, 100'000));
    addUnknown(made);
    return made;
}

json limits()
{
    json made = json::object();
    addOptional(made, "max_header_bytes", wholeNumber(0, maxExactInteger));
    addOptional(made, "max_body_bytes", wholeNumber(0, maxExactInteger));
    addOptional(made, "header_timeout_ms", decimal(0, maxMilliseconds));
    addOptional(made, "idle_timeout_ms", decimal(0, maxMilliseconds));
    addUnknown(made);
    return made;
}

json configuration()
{
    json made = {{"version", wholeNumber(1, maxExactInteger)}};
    addOptional(made, "routes", listOf(&route));
    addOptional(made, "services", listOf(&service));
    addOptional(made, "tenants", listOf(&tenant));
    addOptional(made, "limits", limits());
    addUnknown(made);
    return made;
}

} // namespace

// Guards against a configuration that the store has accepted and the instances refuse: they stay on the version before it, and refuse
// each later one that has the same member.
TEST_GROUP(valid_configurations)
{
    platform_adapter adapter;

    outcome<traffic_plan> decode(const std::string &text)
    {
        const auto record = adapter.dialects().records.decodeOperator("config", text);
        if (!record) {
            return record.error();
        }
        return std::get<traffic_plan>(*record.value());
    }
};

TEST(valid_configurations, areDecoded)
{
    CHECK_PROPERTY("valid configurations", [this] {
        const json written = configuration();
        const auto plan = decode(written.dump());
        if (!plan) {
            RC_FAIL(plan.error().message + " in " + written.dump());
        }
        RC_ASSERT(plan.value().version == plan_version(written["version"].get<std::int64_t>()));
        const bool hasRoutes = written.contains("routes") && written["routes"].is_array();
        RC_ASSERT(plan.value().routes.size() == (hasRoutes ? written["routes"].size() : 0));
    });
}

TEST(valid_configurations, mayWriteWholeNumbersWithAFractionOfZero)
{
    const auto plan = decode(R"({"version":7.0,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe","timeout_ms":1.5e3,
      "priority":2.0,"max_attempts":3.0,"service":"s"}],"services":[{"name":"s","max_conns":40.0,"engine":{"slots":8.0,"kv_capacity":9e3}}],
      "tenants":[{"name":"w","priority":1.0,"plain_tokens":200.0}],"limits":{"max_body_bytes":1e6,"idle_timeout_ms":900.0}})");
    CHECK_TRUE(plan.has_value());
    LONGS_EQUAL(7, plan.value().version.value());
    CHECK(plan.value().routes[0].timeout == 1500ms);
    LONGS_EQUAL(2, plan.value().routes[0].priority);
    LONGS_EQUAL(3, plan.value().routes[0].maxAttempts);
    LONGS_EQUAL(40, plan.value().services[0].maxConnections);
    LONGS_EQUAL(9000, plan.value().services[0].engine->memory.value());
    LONGS_EQUAL(200, plan.value().workspaces[0].defaultCost);
    LONGS_EQUAL(1'000'000, plan.value().limits.body.value());
    CHECK(plan.value().limits.idleTimeout == 900ms);
}

TEST(valid_configurations, mayDivideMilliseconds)
{
    const auto plan = decode(R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe","timeout_ms":1500.6,
      "target_latency_ms":99.5,"service":"s"}],"limits":{"header_timeout_ms":2000.2}})");
    CHECK_TRUE(plan.has_value());
    CHECK(plan.value().routes[0].timeout == 1501ms);
    CHECK(plan.value().routes[0].target == 100ms);
    CHECK(plan.value().limits.headTimeout == 2000ms);
}

// The shares of a split may be written as parts of one.
TEST(valid_configurations, mayWriteWeightsAsFractions)
{
    const auto plan = decode(R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe","timeout_ms":1000,
      "split":[{"service":"s","weight":0.75},{"service":"t","weight":0.25}]}]})");
    CHECK_TRUE(plan.has_value());
    const auto &targets = plan.value().routes[0].targets;
    LONGS_EQUAL(2, targets.size());
    CHECK(targets[1].weight > 0);
    LONGS_EQUAL(3 * targets[1].weight, targets[0].weight);
}

// An invalid configuration must not be taken for a valid one either.
TEST(valid_configurations, mayNotHoldNumbersThatAreNotWholeOrOutOfRange)
{
    for (const std::string version : {"7.5", "1e300", "-1e300", "1e19", "9223372036854775808", "\"7\"", "null", "[]"}) {
        CHECK_FALSE(decode(R"({"version":)" + version + "}").has_value());
    }
    for (const std::string timeout : {"-1", "-0.6", "1e300", "\"1000\"", "true", "9223372036854775807"}) {
        CHECK_FALSE(decode(R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe","timeout_ms":)" + timeout
                           + R"(,"service":"s"}]})")
                        .has_value());
    }
    for (const std::string weight : {"-1", "-0.5", "\"1\"", "[]"}) {
        CHECK_FALSE(decode(R"({"version":7,"routes":[{"name":"r","host":"h","path_prefix":"/","kind":"safe","timeout_ms":1000,
          "split":[{"service":"s","weight":)"
                           + weight + "}]}]})")
                        .has_value());
    }
}
