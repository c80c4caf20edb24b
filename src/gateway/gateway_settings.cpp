#include "gateway/gateway_settings.h"

#include "wire/json_reader.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <fstream>
#include <sstream>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr number_range percentRange = {0, 100};

/// A bound that the deployment sets. It may be any number and may be missing, and the instance starts all the same: numbers outside of the
/// range are moved to it, and the default of gateway_settings applies to a missing bound.
struct bound_rule
{
    std::string_view key;
    number_range range;
    void (*set)(gateway_settings &settings, double value);
};

// Values that have to be whole are rounded towards the side on which the instance promises less or keeps to more.
milliseconds wholeMilliseconds(double value)
{
    return std::max(milliseconds(static_cast<std::int64_t>(std::floor(value))), milliseconds(1));
}

constexpr double millisecondsPerSecond = 1000.0;
constexpr double percentPerUnit = 100.0;
constexpr number_range millisecondsRange = {1, 600'000};
constexpr number_range secondsRange = {0, 600};
constexpr number_range countRange = {0, 1'000'000};
constexpr number_range factorRange = {0, 100};
constexpr number_range fractionRange = {0, 1};
constexpr number_range tokensRange = {0, 1'000'000'000};
constexpr number_range partitionsRange = {1, 1000};
constexpr number_range mebibytesRange = {48, 1'048'576};
constexpr number_range descriptorsRange = {128, 1'048'576};
constexpr std::int64_t mebibyte = 1024 * 1024;

constexpr std::array<bound_rule, 16> boundRules = {{
    {"graceSeconds",
     secondsRange,
     [](gateway_settings &to, double value) {
         to.gracePeriod = wholeMilliseconds(value * millisecondsPerSecond);
     }},
    {"configurationWithinMs",
     millisecondsRange,
     [](gateway_settings &to, double value) {
         to.maxConfigurationDelay = wholeMilliseconds(value);
     }},
    {"silenceWithinMs",
     millisecondsRange,
     [](gateway_settings &to, double value) {
         to.silenceDetectionLimit = wholeMilliseconds(value);
     }},
    {"drainWithinMs",
     millisecondsRange,
     [](gateway_settings &to, double value) {
         to.maxDrainDelay = wholeMilliseconds(value);
     }},
    {"coldOver",
     factorRange,
     [](gateway_settings &to, double value) {
         to.cold.rateFactor = value;
     }},
    {"coldSlack",
     countRange,
     [](gateway_settings &to, double value) {
         to.cold.fixedAllowance = static_cast<std::int64_t>(value);
     }},
    {"repeatRatio",
     fractionRange,
     [](gateway_settings &to, double value) {
         to.retryBudget.perHundred = static_cast<std::int64_t>(value * percentPerUnit);
     }},
    {"repeatSlack",
     countRange,
     [](gateway_settings &to, double value) {
         to.retryBudget.fixedAllowance = static_cast<std::int64_t>(value);
     }},
    {"quotaSlack",
     tokensRange,
     [](gateway_settings &to, double value) {
         to.quotas.fixed = value;
     }},
    {"quotaOver",
     fractionRange,
     [](gateway_settings &to, double value) {
         to.quotas.part = value;
     }},
    // The tolerance grows with the window.
    {"quotaWindowSeconds",
     secondsRange,
     [](gateway_settings &to, double value) {
         to.quotas.window = wholeMilliseconds(value * millisecondsPerSecond);
     }},
    {"quotaParts",
     partitionsRange,
     [](gateway_settings &to, double value) {
         to.quotaPartitions = static_cast<std::int64_t>(value);
     }},
    {"exposeShare",
     fractionRange,
     [](gateway_settings &to, double value) {
         to.exposeShare = value;
     }},
    {"dutyTurnMs",
     millisecondsRange,
     [](gateway_settings &to, double value) {
         to.minHandoverInterval = milliseconds(static_cast<std::int64_t>(std::ceil(value)));
     }},
    {"memoryMb",
     mebibytesRange,
     [](gateway_settings &to, double value) {
         to.memory = byte_count(static_cast<std::int64_t>(value) * mebibyte);
     }},
    {"maxDescriptors",
     descriptorsRange,
     [](gateway_settings &to, double value) {
         to.maxDescriptors = static_cast<std::int64_t>(value);
     }},
}};

socket_address readAddress(json_reader &reader, std::string_view key)
{
    const auto parsed = socket_address::parse(reader.nonEmptyText(key));
    if (!parsed) {
        reader.reject(key, "an IP address and a port");
        return {};
    }
    return parsed.value();
}

} // namespace

outcome<gateway_settings> parseGatewaySettings(std::string_view text)
{
    BOOST_OUTCOME_TRY(reader, json_reader::parse(text, error_code::invalid_settings));
    gateway_settings settings;
    settings.instance = reader.id<instance_id>("instance");
    settings.dataCentre = reader.id<data_centre_id>("dataCentre");
    settings.callerAddress = readAddress(reader, "callerAddress");
    settings.readinessAddress = readAddress(reader, "readinessAddress");
    settings.metricsAddress = readAddress(reader, "metricsAddress");
    settings.storeAddress = readAddress(reader, "storeAddress");
    settings.peerAddress = readAddress(reader, "peerAddress");
    for (const bound_rule &rule : boundRules) {
        if (const auto value = reader.clampedNumber(rule.key, rule.range)) {
            rule.set(settings, *value);
        }
    }
    settings.pacesAllServices = reader.booleanOr("endpointPacing", false);
    settings.prefillPercent = reader.integer("prefillPercent", percentRange);
    BOOST_OUTCOME_TRYV(reader.finish());
    return settings;
}

outcome<gateway_settings> loadGatewaySettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return failure(error_code::invalid_settings, path + ": cannot read the settings file");
    }
    std::ostringstream text;
    text << file.rdbuf();
    auto settings = parseGatewaySettings(text.str());
    if (!settings) {
        return failure(settings.error().code, path + ": " + settings.error().message);
    }
    return settings;
}

} // namespace burdockshelf
