#include "gateway/gateway_settings.h"

#include <fstream>
#include <sstream>

#include <nlohmann/json.hpp>

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const std::vector<std::string> requiredMembers = {
    "instance", "dataCentre", "callerAddress", "readinessAddress", "metricsAddress", "storeAddress", "peerAddress", "prefillPercent"};
const std::vector<std::string> bounds = {"graceSeconds",
                                         "configurationWithinMs",
                                         "silenceWithinMs",
                                         "drainWithinMs",
                                         "coldOver",
                                         "coldSlack",
                                         "repeatRatio",
                                         "repeatSlack",
                                         "quotaSlack",
                                         "quotaOver",
                                         "quotaWindowSeconds",
                                         "quotaParts",
                                         "dutyTurnMs"};

nlohmann::json completeSettings()
{
    return nlohmann::json::parse(
        R"({"instance":"a","dataCentre":"z","callerAddress":"127.0.0.1:1","readinessAddress":"127.0.0.1:2",
 "metricsAddress":"127.0.0.1:3","storeAddress":"127.0.0.1:4","peerAddress":"127.0.0.1:5","graceSeconds":8,"configurationWithinMs":2000,
 "silenceWithinMs":3000,"drainWithinMs":2000,"quotaParts":12,"coldOver":1.5,"coldSlack":5,
 "repeatRatio":0.2,"repeatSlack":56,"quotaSlack":190000,"quotaOver":0.1,"quotaWindowSeconds":8.0,"dutyTurnMs":3000,"prefillPercent":25})");
}

gateway_settings parsed(const nlohmann::json &document)
{
    const auto settings = parseGatewaySettings(document.dump());
    CHECK_TRUE(settings.has_value());
    return settings.value();
}

bool isRejectedByName(const nlohmann::json &document, const std::string &name)
{
    const auto result = parseGatewaySettings(document.dump());
    return result.has_error() && result.error().message.find("/" + name) != std::string::npos;
}

std::string readTemplate()
{
    std::ifstream file(BURDOCKSHELF_SETTINGS_TEMPLATE);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Fills in the template as the deployment does: a section of a bound stands only when the deployment states the bound, and other
// placeholders get a value of their kind.
std::string render(std::string text, const std::function<std::optional<std::string>()> &nextBound)
{
    for (std::size_t at = text.find("{{#"); at != std::string::npos; at = text.find("{{#", at)) {
        const std::string name = text.substr(at + 3, text.find("}}", at) - at - 3);
        const std::string open = "{{#" + name + "}}";
        const std::string close = "{{/" + name + "}}";
        const std::size_t end = text.find(close, at);
        std::string section = text.substr(at + open.size(), end - at - open.size());
        const std::optional<std::string> value = nextBound();
        const std::string placeholder = "{{.|json}}";
        const std::size_t filled = section.find(placeholder);
        if (filled != std::string::npos && value) {
            section.replace(filled, placeholder.size(), *value);
        }
        section = value ? section : "";
        text.replace(at, end + close.size() - at, section);
    }
    for (std::size_t at = text.find("{{"); at != std::string::npos; at = text.find("{{", at)) {
        const std::size_t end = text.find("}}", at) + 2;
        const std::string name = text.substr(at, end - at);
        const bool isQuoted = name.find("|json") != std::string::npos;
        const std::string value = name.find("ip}") != std::string::npos ? "127.0.0.1"
            : name.find("ports") != std::string::npos                   ? "7500"
                                                                        : "127.0.0.1:1";
        text.replace(at, end - at, isQuoted ? "\"" + value + "\"" : value);
    }
    return text;
}

} // namespace

TEST_GROUP(gateway_settings_files) {};

// Guards against a start with a member that nothing safe can be assumed for.
TEST(gateway_settings_files, nameTheInvalidMember)
{
    CHECK_TRUE(parseGatewaySettings(completeSettings().dump()).has_value());
    for (const std::string &name : requiredMembers) {
        nlohmann::json without = completeSettings();
        without.erase(name);
        CHECK_TRUE(isRejectedByName(without, name));
    }
    for (const std::string &name : bounds) {
        for (const nlohmann::json &invalid : {nlohmann::json(-1), nlohmann::json("3000"), nlohmann::json(true), nlohmann::json::array()}) {
            nlohmann::json changed = completeSettings();
            changed[name] = invalid;
            CHECK_TRUE(isRejectedByName(changed, name));
        }
    }
    nlohmann::json misspelt = completeSettings();
    misspelt["graceSecond"] = 8;
    CHECK_TRUE(isRejectedByName(misspelt, "graceSecond"));
}

// Guards against an instance that does not start because a deployment states a bound as a fraction, and against one that rounds it to the
// side on which it promises more.
TEST(gateway_settings_files, roundFractionsToTheStrictSide)
{
    nlohmann::json document = completeSettings();
    document["graceSeconds"] = 8.0005;
    document["configurationWithinMs"] = 1999.9;
    document["silenceWithinMs"] = 2999.9;
    document["drainWithinMs"] = 1999.9;
    document["coldSlack"] = 4.9;
    document["repeatRatio"] = 0.209;
    document["repeatSlack"] = 33.1578947368421;
    document["quotaWindowSeconds"] = 7.9999;
    document["quotaParts"] = 12.0;
    document["dutyTurnMs"] = 3000.1;
    const gateway_settings settings = parsed(document);
    CHECK(settings.gracePeriod == 8000ms);
    CHECK(settings.maxConfigurationDelay == 1999ms);
    CHECK(settings.silenceDetectionLimit == 2999ms);
    CHECK(settings.maxDrainDelay == 1999ms);
    LONGS_EQUAL(4, settings.cold.fixedAllowance);
    LONGS_EQUAL(20, settings.retryBudget.perHundred);
    LONGS_EQUAL(33, settings.retryBudget.fixedAllowance);
    CHECK(settings.quotas.window == 7999ms);
    LONGS_EQUAL(12, settings.quotaPartitions);
    CHECK(settings.minHandoverInterval == 3001ms);
}

// Guards against an instance that does not start because a bound is zero, larger than any that it uses, or not stated.
TEST(gateway_settings_files, acceptBoundsAtTheirLimits)
{
    for (const std::string &name : bounds) {
        for (const nlohmann::json &odd : {nlohmann::json(0), nlohmann::json(1e18), nlohmann::json(nullptr), nlohmann::json(false)}) {
            nlohmann::json changed = completeSettings();
            changed[name] = odd;
            CHECK_TRUE(parseGatewaySettings(changed.dump()).has_value());
        }
        nlohmann::json without = completeSettings();
        without.erase(name);
        CHECK_TRUE(parseGatewaySettings(without.dump()).has_value());
    }
    nlohmann::json unstated = completeSettings();
    unstated.erase("quotaSlack");
    unstated.erase("repeatSlack");
    const gateway_settings settings = parsed(unstated);
    DOUBLES_EQUAL(0.0, settings.quotas.fixed, 0.0);
    LONGS_EQUAL(0, settings.retryBudget.fixedAllowance);
}

// Guards against pacing in deployments that have not asked for it, and against a template that loses the setting.
TEST(gateway_settings_files, pacesEndpointsOnlyWhereAsked)
{
    CHECK_FALSE(parsed(completeSettings()).pacesAllServices);
    const auto filled = [](std::optional<std::string> bound) {
        return parseGatewaySettings(render(readTemplate(), [&] { return bound; })).value();
    };
    CHECK_TRUE(filled("1").pacesAllServices);
    CHECK_FALSE(filled(std::nullopt).pacesAllServices);
    nlohmann::json invalid = completeSettings();
    invalid["endpointPacing"] = 1;
    CHECK_TRUE(isRejectedByName(invalid, "endpointPacing"));
}

// Guards against a template that a deployment without some of the bounds turns into text that is not JSON.
TEST(gateway_settings_files, areValidForAllBoundsOfADeployment)
{
    const std::string text = readTemplate();
    CHECK_PROPERTY("the filled in template is accepted", [&] {
        const auto filled = render(text, []() -> std::optional<std::string> {
            if (!*rc::gen::arbitrary<bool>()) {
                return std::nullopt;
            }
            const auto whole = *rc::gen::inRange<std::int64_t>(0, 2'000'000);
            const auto fraction = *rc::gen::inRange(0, 100);
            return std::to_string(whole) + (fraction == 0 ? "" : "." + std::to_string(fraction));
        });
        const auto settings = parseGatewaySettings(filled);
        RC_ASSERT(settings.has_value());
        RC_ASSERT(settings.value().gracePeriod > 0ms);
        RC_ASSERT(settings.value().quotaPartitions > 0);
    });
}
