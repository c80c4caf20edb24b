#include "platform/platform.h"

#include <nlohmann/json.hpp>

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr const char *configurationJson = R"({"version":7,"routes":[
 {"name":"r1","host":"h","path_prefix":"/a/","kind":"streaming","timeout_ms":14000,"target_latency_ms":900,"priority":1,
  "split":[{"service":"s","weight":90},{"service":"t","weight":10}],"max_attempts":2,"public":false,"resumable":true},
 {"name":"r2","host":"h","path_prefix":"/b/","kind":"unsafe","timeout_ms":1000,"service":"t","max_attempts":1}],
 "services":[{"name":"s","max_conns":370,"cold_start_s":3.0,"cold_per_s":22.0,"engine":{"slots":64,"kv_capacity":40510}},{"name":"t"}],
 "limits":{"max_header_bytes":16384,"idle_timeout_ms":15000},"unknown":{"field":1},
 "tenants":[{"name":"w","api_keys":["k1","k2"],"priority":1,"unit":"tokens","plain_tokens":200,"rate_per_s":47000,"burst":47000}]})";

constexpr const char *endpointEntryJson = R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1","slots":64,"state":"ready",
 "cold_left_ms":0,"stage":"decode","sequence":4,"born":17})";

http_request clientRequest()
{
    http_request request;
    request.method = "POST";
    request.target = "/a/x?y=1";
    request.headers = {
        {"Host", "h"},
        {"X-Attempt-Id", "a1"},
        {"X-Deadline-Ms", "1000"},
        {"Authorization", "Bearer k1"},
        {"X-Token-Counts", "1460,80"},
        {"X-Length-Hint", "60"},
        {"X-Tenant", "forged"},
        {"X-Kv-Source", "forged"},
        {"x-kv-hold", "forged"},
        {"Kv-Fetch", "forged"},
        {"X-Stage", "prefill"},
        {"Connection", "X-Hop"},
        {"X-Hop", "1"},
        {"X-Other", "kept"},
    };
    request.body = "body";
    return request;
}

} // namespace

TEST_GROUP(platform)
{
    platform_adapter adapter;
};

TEST(platform, decodesAConfigurationAndIgnoresUnknownFields)
{
    const auto record = adapter.dialects().records.decodeOperator("config", configurationJson);
    CHECK_TRUE(record.has_value());
    const auto &plan = std::get<traffic_plan>(*record.value());
    LONGS_EQUAL(7, plan.version.value());
    LONGS_EQUAL(2, plan.routes.size());
    CHECK(plan.routes[0].kind == request_kind::streaming);
    CHECK_TRUE(plan.routes[0].isResumable);
    LONGS_EQUAL(90, plan.routes[0].targets[0].weight);
    LONGS_EQUAL(40510, plan.services[0].engine->memory.value());
    CHECK_FALSE(plan.services[1].engine.has_value());
    LONGS_EQUAL(200, plan.workspaces[0].defaultCost);
    CHECK_TRUE(plan.workspaces[0].countsTokens);
}

// The last part of a prompt belongs to one request; taking it for a shared part would spread the evidence of a crash over all requests.
TEST(platform, separatesTheSharedPartsOfAPromptFromItsOwn)
{
    http_request request = clientRequest();
    CHECK_TRUE(adapter.dialects().callers.decodeRequestFacts(request, instant()).parts.own.isEmpty());
    request.headers.add("X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
    const prompt_parts parts = adapter.dialects().callers.decodeRequestFacts(request, instant()).parts;
    LONGS_EQUAL(2, parts.shared.size());
    CHECK_EQUAL(std::string("5c1e07a2"), parts.shared[0].value());
    CHECK_EQUAL(std::string("91bd3f06"), parts.shared[1].value());
    CHECK_EQUAL(std::string("e4402b7d"), parts.own.value());
}

TEST(platform, rejectsAMalformedConfiguration)
{
    CHECK_FALSE(adapter.dialects().records.decodeOperator("config", "{\"version\":\"x\"}").has_value());
    CHECK_FALSE(adapter.dialects().records.decodeOperator("config", "\xff").has_value());
}

// Another program may write entries of another format under the same topic. They must be rejected, so that they add no endpoint and do not
// affect the valid ones.
TEST(platform, rejectsEntriesWithMissingFieldsOrWrongTypes)
{
    const record_dialect &records = adapter.dialects().records;
    CHECK_TRUE(records.decodeEndpoint("i-1", endpointEntryJson).has_value());
    const nlohmann::json valid = nlohmann::json::parse(endpointEntryJson);
    for (const std::string name : {"service", "address", "zone", "slots", "state"}) {
        nlohmann::json missingField = valid;
        missingField.erase(name);
        CHECK_FALSE(records.decodeEndpoint("i-1", missingField.dump()).has_value());
        nlohmann::json wrongType = valid;
        wrongType[name] = nlohmann::json::array();
        CHECK_FALSE(records.decodeEndpoint("i-1", wrongType.dump()).has_value());
    }
    nlohmann::json unknownState = valid;
    unknownState["state"] = "resting";
    CHECK_FALSE(records.decodeEndpoint("i-1", unknownState.dump()).has_value());
}

TEST(platform, decodersHandleArbitraryBytes)
{
    CHECK_PROPERTY("any bytes", [this](const std::string &bytes) {
        RC_ASSERT(!adapter.dialects().records.decodeEndpoint("i", bytes).has_value());
        RC_ASSERT(!adapter.dialects().records.decodeOperator("config", bytes).has_value());
        RC_ASSERT(!adapter.dialects().endpoints.decodePromptHandle(bytes).has_value());
        RC_ASSERT(!adapter.dialects().store.decodeNewest({200, {}, bytes}).has_value());
        static_cast<void>(adapter.dialects().store.decodeBatch({200, {}, bytes}));
    });
}

// An endpoint must not receive the client's API key, and a client must not be able to set headers that only the router may set.
TEST(platform, dropsClientHeadersThatOnlyTheRouterMaySet)
{
    const http_request original = clientRequest();
    const instant now(1000s);
    admitted_request admitted;
    admitted.facts = adapter.dialects().callers.decodeRequestFacts(original, now);
    admitted.workspace = workspace_id("w");
    start_attempt attempt;
    attempt.endpoint = endpoint_id("i-1");
    attempt.until = deadline::after(now, 700ms);
    const http_request sent = adapter.dialects().endpoints.forward(original, admitted, attempt, now);
    CHECK_FALSE(sent.headers.has("Authorization"));
    CHECK_FALSE(sent.headers.has("X-Kv-Source"));
    CHECK_FALSE(sent.headers.has("X-Kv-Hold"));
    CHECK_FALSE(sent.headers.has("Kv-Fetch"));
    CHECK_FALSE(sent.headers.has("X-Stage"));
    CHECK_FALSE(sent.headers.has("X-Hop"));
    CHECK(sent.headers.value("X-Tenant") == "w");
    CHECK(sent.headers.value("X-Deadline-Ms") == "700");
    CHECK(sent.headers.value("X-Expect-Instance") == "i-1");
    CHECK(sent.headers.value("X-Attempt-Id") == "a1");
    CHECK(sent.headers.value("X-Other") == "kept");
    STRCMP_EQUAL("/a/x?y=1", sent.target.c_str());
    STRCMP_EQUAL("body", sent.body.c_str());
}

TEST(platform, decodesRequestFacts)
{
    const instant now(1000s);
    const forward_facts facts = adapter.dialects().callers.decodeRequestFacts(clientRequest(), now);
    STRCMP_EQUAL("k1", facts.key.c_str());
    LONGS_EQUAL(1460, facts.promptTokens->value());
    LONGS_EQUAL(80, facts.outputTokenLimit.value());
    LONGS_EQUAL(60, facts.expectedOutputTokens->value());
    CHECK(facts.callerDeadline == deadline::after(now, 1s));
}

// Statuses 429 and 503 guarantee that the request was not run, so a request that may have run must never be refused with them.
TEST(platform, decodesTheTryThatAResumptionNames)
{
    http_request request;
    request.headers = {{"X-Attempt-Id", "b"}, {"Resumes", "a"}, {"Last-Event-Id", "7"}};
    const forward_facts facts = adapter.dialects().callers.decodeRequestFacts(request, instant(1000s));
    STRCMP_EQUAL("a", facts.resumedAttempt.value().c_str());
    LONGS_EQUAL(7, facts.resumeAfter.value_or(0));
}

TEST(platform, reportsNotRunOnlyForRequestsThatWereNotRun)
{
    const caller_dialect &callers = adapter.dialects().callers;
    for (const refusal_cause cause : {refusal_cause::timed_out, refusal_cause::endpoint_failed}) {
        const int status = callers.refusal({cause, std::nullopt}, {}).status;
        CHECK(status == 502 || status == 504);
    }
    const http_response busy = callers.refusal({refusal_cause::overloaded, 120ms}, {});
    LONGS_EQUAL(503, busy.status);
    CHECK(busy.headers.value("Retry-After") == "0.120");
    LONGS_EQUAL(429, callers.refusal({refusal_cause::over_quota, 1s}, {}).status);
}

// Guards against a restore of the store that is not noticed, or seen in a header that has another content.
TEST(platform, readsTheErasOfTheStore)
{
    const auto eraOf = [this](const char *name, const char *value) {
        http_response response;
        response.status = 410;
        response.headers.add(name, value);
        return adapter.dialects().store.decodeEra(response);
    };
    CHECK(eraOf("Store-Era", "17") == store_era(17));
    CHECK(eraOf("store-era", "0") == store_era(0));
    for (const char *value : {"", "-1", "1.5", "x", "1 2", "99999999999999999999"}) {
        CHECK_FALSE(eraOf("Store-Era", value).has_value());
    }
    CHECK_FALSE(eraOf("Other", "17").has_value());
}

TEST(platform, decodesRecordsOfAKeyedTopic)
{
    const store_dialect &store = adapter.dialects().store;
    const http_request written = store.write(store_topic::members, "me", "value");
    http_response response;
    response.body = std::string(7, '\0') + '\x05' + std::string(8, '\0') + written.body;
    const auto batch = store.decodeBatch(response);
    CHECK_TRUE(batch.has_value());
    LONGS_EQUAL(5, batch.value().end.value());
    STRCMP_EQUAL("me", batch.value().records[0].key.c_str());
    STRCMP_EQUAL("value", batch.value().records[0].value->c_str());
    CHECK(store.decodeBatch({410, {}, ""}).error().code == error_code::not_found);
    CHECK_FALSE(store.decodeBatch({503, {}, ""}).has_value());
}

// A response without the endpoint's proof of origin must not be taken for a success.
// Guards against a conditional write that is taken for done although another instance has written since the read.
TEST(platform, writesOnlyAtTheExpectedEnd)
{
    const store_dialect &store = adapter.dialects().store;
    const http_request written = store.writeAt(store_topic::versions, "engine", "value", store_offset(12));
    STRCMP_EQUAL("/log-append?topic=keyed.versions&part=0&at=12", written.target.c_str());
    LONGS_EQUAL(13, store.decodeWriteEnd({200, {}, R"({"offset":12,"end":13})"}).value().value());
    CHECK(store.decodeWriteEnd({412, {}, R"({"end":14})"}).error().code == error_code::conflict);
    CHECK(store.decodeWriteEnd({503, {}, ""}).error().code == error_code::unavailable);
    for (const char *body : {"", "{}", R"({"end":-1})", R"({"end":"13"})", R"({"end":1.5})", "[]"}) {
        CHECK(store.decodeWriteEnd({200, {}, body}).error().code == error_code::invalid_message);
    }
}

TEST(platform, decodesResponseHeads)
{
    const endpoint_dialect &endpoints = adapter.dialects().endpoints;
    const instant now(1000s);
    const response_facts good =
        endpoints.decodeResponseHead({200, {{"X-Attempt-Id", "a"}, {"X-Server-Seal", "s"}, {"X-Server-Load", "3,1,8"}}, ""}, now);
    CHECK_TRUE(good.hasServerSeal);
    CHECK_FALSE(good.isNotExecuted);
    LONGS_EQUAL(1, good.load->waiting);
    CHECK_TRUE(endpoints.decodeResponseHead({503, {{"X-Not-Executed", "1"}}, ""}, now).isNotExecuted);
    CHECK_FALSE(endpoints.decodeResponseHead({503, {}, ""}, now).isNotExecuted);
    CHECK_TRUE(endpoints.decodeResponseHead({421, {}, ""}, now).isMisdirected);
    CHECK_FALSE(endpoints.decodeResponseHead({200, {{"X-Server-Load", "broken"}}, ""}, now).load.has_value());
}

// A false figure for how long work takes must not disturb the placement, nor cost the figures before it.
TEST(platform, dropsUnusableFiguresOfTheLoad)
{
    const auto parse = [&](const char *text) {
        return adapter.dialects().endpoints.decodeResponseHead({200, {{"X-Server-Load", text}}, ""}, instant(1000s)).load;
    };
    LONGS_EQUAL(130, parse("3,1,8,130")->workTimePercent.value());
    for (const char *text :
         {"3,1,8", "3,1,8,", "3,1,8,x", "3,1,8,0", "3,1,8,-100", "3,1,8,9", "3,1,8,10001", "3,1,8,99999999999999999999"}) {
        CHECK_FALSE(parse(text)->workTimePercent.has_value());
        LONGS_EQUAL(8, parse(text)->slots);
    }
}

// The store returns only the names of group members, so a name must include the member's address.
TEST(platform, decodesQuotaPartitionHoldersFromMemberNames)
{
    const store_dialect &store = adapter.dialects().store;
    const peer_instance self = {instance_id("edge-a-1"), {"10.1.0.3", 7500}};
    const auto call = nlohmann::json::parse(store.joinGroup(self, fencing_token(6), 3000ms).body);
    LONGS_EQUAL(6, call["generation"].get<int>());
    LONGS_EQUAL(3000, call["ttl_ms"].get<int>());
    const nlohmann::json row = {call["topics"][1], 3, call["member"], 0};
    const nlohmann::json nameWithoutAddress = {call["topics"][1], 2, "somebody", 0};
    const nlohmann::json noHolder = {call["topics"][1], 1, nullptr, 0};
    const nlohmann::json otherTopic = {call["topics"][0], 0, call["member"], 0};
    const nlohmann::json owners = {{"parts", {row, nameWithoutAddress, noHolder, otherTopic}}};
    const auto holders = store.decodeHolders({200, {}, owners.dump()});
    CHECK_TRUE(holders.has_value());
    LONGS_EQUAL(1, holders.value().size());
    CHECK(holders.value().front().quotaPartition == quota_partition(3));
    CHECK(holders.value().front().holder == self);
    CHECK_FALSE(store.decodeHolders({200, {}, "[]"}).has_value());
    CHECK_FALSE(store.decodeHolders({503, {}, owners.dump()}).has_value());
}

TEST(platform, decodesTheAssignmentOfAMember)
{
    const store_dialect &store = adapter.dialects().store;
    const auto call = nlohmann::json::parse(store.joinGroup({instance_id("a"), {"10.1.0.3", 1}}, {}, 3000ms).body);
    const std::string orders = call["topics"][0];
    const std::string quotas = call["topics"][1];
    const auto decodeRows = [&](const nlohmann::json &parts) {
        return store.decodeAssignment({200, {}, nlohmann::json {{"generation", 7}, {"parts", parts}}.dump()});
    };
    const auto held = decodeRows({{orders, 0, 0}, {quotas, 2, 0}, {quotas, 5, 0}});
    CHECK_TRUE(held.value().holdsStageControl);
    LONGS_EQUAL(7, held.value().generation.value());
    LONGS_EQUAL(2, held.value().quotaPartitions.size());
    // Only partition 0 of the stage control topic matters.
    CHECK_FALSE(decodeRows({{orders, 3, 0}}).value().holdsStageControl);
    CHECK_FALSE(decodeRows({{orders}}).has_value());
    CHECK_FALSE(store.decodeAssignment({200, {}, "{}"}).has_value());
}
