#include "gateway/gateway_settings.h"

#include "wire/json_reader.h"

#include <fstream>
#include <sstream>

namespace burdockshelf
{

namespace
{

constexpr number_range slackRange = {0, 1'000'000};
constexpr number_range coldSlackRange = {0, 1'000'000};
constexpr double mostColdOver = 100.0;
constexpr number_range quotaSlackRange = {0, 1'000'000'000};
constexpr number_range shareRange = {0, 100};
constexpr number_range partsRange = {1, 1000};
constexpr number_range graceRange = {1, 600'000};

socket_address addressOf(json_reader &reader, std::string_view key)
{
    const auto parsed = socket_address::parse(reader.nonEmptyText(key));
    if (!parsed) {
        reader.reject(key, "an IP number and a port");
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
    settings.callerAddress = addressOf(reader, "callerAddress");
    settings.readinessAddress = addressOf(reader, "readinessAddress");
    settings.metricsAddress = addressOf(reader, "metricsAddress");
    settings.storeAddress = addressOf(reader, "storeAddress");
    settings.peerAddress = addressOf(reader, "peerAddress");
    settings.grace = reader.seconds("graceSeconds", graceRange);
    settings.configurationWithin = std::chrono::milliseconds(reader.integer("configurationWithinMs", graceRange));
    settings.silenceWithin = std::chrono::milliseconds(reader.integer("silenceWithinMs", graceRange));
    settings.drainWithin = std::chrono::milliseconds(reader.integer("drainWithinMs", graceRange));
    settings.cold.rateFactor = reader.factor("coldOver", mostColdOver);
    settings.cold.fixedAllowance = reader.integer("coldSlack", coldSlackRange);
    settings.retryBudget.perHundred = static_cast<std::int64_t>(reader.fraction("repeatRatio") * 100.0);
    settings.retryBudget.fixedAllowance = reader.integer("repeatSlack", slackRange);
    settings.quotas.fixed = static_cast<double>(reader.integer("quotaSlack", quotaSlackRange));
    settings.quotas.part = reader.fraction("quotaOver");
    settings.quotas.window = reader.seconds("quotaWindowSeconds", graceRange);
    settings.quotaPartitions = reader.integer("quotaParts", partsRange);
    settings.dutyTurn = std::chrono::milliseconds(reader.integer("dutyTurnMs", graceRange));
    settings.prefillPercent = reader.integer("prefillPercent", shareRange);
    BOOST_OUTCOME_TRYV(reader.finish());
    return settings;
}

outcome<gateway_settings> loadGatewaySettings(const std::string &path)
{
    std::ifstream file(path);
    if (!file) {
        return failure(error_code::invalid_settings, path + ": the file cannot be read");
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
