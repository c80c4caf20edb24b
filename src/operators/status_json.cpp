#include "operators/status_json.h"

#include <array>
#include <chrono>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

using json = nlohmann::json;

constexpr std::array<const char *, 4> conditionNames = {"healthy", "warming", "unhealthy", "drained"};

std::string serialize(const json &document)
{
    return document.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::int64_t millisecondsLeft(deadline until, instant now)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(until.remaining(now)).count();
}

json rosterJson(const roster_status &roster, instant now)
{
    json members = json::array();
    for (const roster_member &member : roster.members) {
        members.push_back({{"instance", member.instance.value()}, {"incarnation", member.incarnation.value()}});
    }
    return {{"epoch", roster.epoch.value()}, {"members", members}, {"authority_left_ms", millisecondsLeft(roster.authority, now)}};
}

json endpointsJson(const std::vector<endpoint_status> &endpoints)
{
    json rows = json::array();
    for (const endpoint_status &row : endpoints) {
        rows.push_back({{"endpoint", row.endpoint.value()},
                        {"state", conditionNames.at(static_cast<std::size_t>(row.condition))},
                        {"used", row.used.value()},
                        {"limit", row.limit.value()}});
    }
    return rows;
}

json queuesJson(const std::vector<queue_status> &queues)
{
    json rows = json::array();
    for (const queue_status &row : queues) {
        rows.push_back({{"urgency", row.urgency.value()}, {"length", row.length}});
    }
    return rows;
}

json quotasJson(const std::vector<quota_status> &quotas)
{
    json rows = json::array();
    for (const quota_status &row : quotas) {
        rows.push_back(
            {{"workspace", row.workspace.value()}, {"level", row.level.value()}, {"cap", row.cap.value()}, {"rate", row.rate.value()}});
    }
    return rows;
}

json peersJson(const std::map<instance_id, peer_status> &peers)
{
    json rows = json::array();
    for (const auto &[instance, status] : peers) {
        rows.push_back({{"instance", instance.value()},
                        {"incarnation", status.who.incarnation.value()},
                        {"data_centre", status.who.dataCentre.value()},
                        {"address", status.who.address.toString()},
                        {"up", status.isUp}});
    }
    return rows;
}

json unreachableJson(const std::map<std::string, reachability_status> &parts)
{
    json rows = json::array();
    for (const auto &[part, status] : parts) {
        rows.push_back({{"part", part}, {"code", errorCodeName(status.cause.code)}, {"message", status.cause.message}});
    }
    return rows;
}

json countsJson(const service_level_counts &counts)
{
    const auto count = [&](service_level_outcome cause) {
        return counts.at(static_cast<std::size_t>(cause));
    };
    return {{"good", count(service_level_outcome::good)},
            {"latency", count(service_level_outcome::latency)},
            {"refusal", count(service_level_outcome::refusal)},
            {"failure", count(service_level_outcome::failure)}};
}

} // namespace

std::string statusJson(const status_board &board, instant now)
{
    const json identity = {{"instance", board.identity.instance.value()},
                           {"incarnation", board.identity.incarnation.value()},
                           {"data_centre", board.identity.dataCentre.value()}};
    const json configuration = {{"version", board.configuration.version.value()}, {"covered", board.configuration.covered.value()}};
    const json roster = rosterJson(board.roster, now);
    return serialize({{"instance", board.identity.instance.value()},
                      {"data_centre", board.identity.dataCentre.value()},
                      {"covered_offset", board.configuration.covered.value()},
                      {"configuration_version", board.configuration.version.value()},
                      {"members", roster["members"]},
                      {"quota", quotasJson(board.quotas)},
                      {"identity", identity},
                      {"configuration", configuration},
                      {"roster", roster},
                      {"endpoints", endpointsJson(board.endpoints)},
                      {"queues", queuesJson(board.queues)},
                      {"quotas", quotasJson(board.quotas)},
                      {"peers", peersJson(board.peers)},
                      {"unreachable", unreachableJson(board.unreachable)}});
}

std::string burnJson(const service_level_tracker &ledger, instant now)
{
    const service_level_settings &settings = ledger.settings();
    json rows = json::array();
    for (const service_level_row &row : ledger.rows(now)) {
        rows.push_back({{"workspace", row.workspace.value()},
                        {"urgency", row.urgency.value()},
                        {"objective", 1.0 - settings.errorBudget},
                        {"total", countsJson(row.total)},
                        {"short", countsJson(row.shortWindow)},
                        {"long", countsJson(row.longWindow)},
                        {"short_burn_rate", burnRate(row.shortWindow, settings.errorBudget)},
                        {"long_burn_rate", burnRate(row.longWindow, settings.errorBudget)}});
    }
    return serialize({{"error_budget", settings.errorBudget},
                      {"short_window_s", settings.shortWindow.count()},
                      {"long_window_s", settings.longWindow.count()},
                      {"rows", rows}});
}

} // namespace burdockshelf
