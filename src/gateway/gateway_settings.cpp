#include "gateway/gateway_settings.h"

#include "wire/json_reader.h"

#include <fstream>
#include <sstream>

namespace burdockshelf
{

namespace
{

constexpr number_range retryAllowanceRange = {0, 1'000'000};
constexpr number_range coldAllowanceRange = {0, 1'000'000};
constexpr double maxColdRateFactor = 100.0;
constexpr number_range quotaAllowanceRange = {0, 1'000'000'000};
constexpr number_range percentRange = {0, 100};
constexpr number_range quotaPartitionsRange = {1, 1000};
constexpr number_range millisecondsRange = {1, 600'000};

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
    settings.gracePeriod = reader.seconds("graceSeconds", millisecondsRange);
    settings.maxConfigurationDelay = std::chrono::milliseconds(reader.integer("configurationWithinMs", millisecondsRange));
    settings.silenceDetectionLimit = std::chrono::milliseconds(reader.integer("silenceWithinMs", millisecondsRange));
    settings.maxDrainDelay = std::chrono::milliseconds(reader.integer("drainWithinMs", millisecondsRange));
    settings.cold.rateFactor = reader.factor("coldOver", maxColdRateFactor);
    settings.cold.fixedAllowance = reader.integer("coldSlack", coldAllowanceRange);
    settings.retryBudget.perHundred = static_cast<std::int64_t>(reader.fraction("repeatRatio") * 100.0);
    settings.retryBudget.fixedAllowance = reader.integer("repeatSlack", retryAllowanceRange);
    settings.quotas.fixed = static_cast<double>(reader.integer("quotaSlack", quotaAllowanceRange));
    settings.quotas.part = reader.fraction("quotaOver");
    settings.quotas.window = reader.seconds("quotaWindowSeconds", millisecondsRange);
    settings.quotaPartitions = reader.integer("quotaParts", quotaPartitionsRange);
    settings.minHandoverInterval = std::chrono::milliseconds(reader.integer("dutyTurnMs", millisecondsRange));
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
