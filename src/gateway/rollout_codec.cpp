#include "gateway/rollout_codec.h"

#include "wire/json_reader.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::string_view decisionKeyPrefix = "decision/";
// Up to the year 9999, in Unix milliseconds.
constexpr number_range unixTimeRange = {0, 253'402'300'799'999};
constexpr number_range countRange = {0, 1'000'000'000'000};
constexpr number_range bucketRange = {0, latencyBucketCount - 1};

constexpr std::array<enum_name<rollout_state>, 4> stateNames = {{
    {rollout_state::collecting, "collecting"},
    {rollout_state::promoting, "promoting"},
    {rollout_state::completed, "completed"},
    {rollout_state::rolled_back, "rolled_back"},
}};
constexpr std::array<enum_name<attempt_kind>, 4> kindNames = {{
    {attempt_kind::plain_call, "plain_call"},
    {attempt_kind::reserve, "reserve"},
    {attempt_kind::prefill, "prefill"},
    {attempt_kind::decode, "decode"},
}};
constexpr std::array<std::string_view, rolloutSideCount> sideNames = {"trusted", "candidate"};

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json encodeVersions(const std::vector<service_version> &versions)
{
    json names = json::array();
    for (const service_version &version : versions) {
        names.push_back(version.value());
    }
    return names;
}

std::vector<service_version> decodeVersions(json_reader &reader, std::string_view key)
{
    std::vector<service_version> versions;
    for (std::string &name : reader.texts(key)) {
        versions.emplace_back(std::move(name));
    }
    return versions;
}

json encodeCounts(const evidence_counts &counts)
{
    json latencies = json::array();
    for (std::size_t bucket = 0; bucket < latencyBucketCount; ++bucket) {
        if (counts.latencies.at(bucket) > 0) {
            latencies.push_back({{"bucket", bucket}, {"count", counts.latencies.at(bucket)}});
        }
    }
    return {{"responses", counts.responses}, {"failures", counts.failures}, {"latencies", std::move(latencies)}};
}

evidence_counts decodeCounts(json_reader &&reader)
{
    evidence_counts counts;
    counts.responses = reader.integer("responses", countRange);
    counts.failures = reader.integer("failures", countRange);
    for (json_reader &entry : reader.objects("latencies")) {
        counts.latencies.at(static_cast<std::size_t>(entry.integer("bucket", bucketRange))) = entry.integer("count", countRange);
    }
    return counts;
}

json encodeReport(const rollout_report &report)
{
    json evidence = json::array();
    for (const auto &[key, pair] : report.evidence) {
        json entry = {
            {"route", key.route.value()}, {"kind", enumName(key.attemptKind, kindNames)}, {"data_centre", key.dataCentre.value()}};
        for (std::size_t side = 0; side < rolloutSideCount; ++side) {
            entry[std::string(sideNames.at(side))] = encodeCounts(pair.at(side));
        }
        evidence.push_back(std::move(entry));
    }
    return {{"service", report.service.value()},
            {"order", report.order.value()},
            {"state", enumName(report.state, stateNames)},
            {"in_progress", report.inProgressAtOld},
            {"evidence", std::move(evidence)}};
}

rollout_report decodeReport(json_reader &reader)
{
    rollout_report report;
    report.service = service_id(reader.text("service"));
    report.order = rollout_number(reader.integer("order"));
    report.state = reader.enumeration("state", stateNames);
    report.inProgressAtOld = reader.integer("in_progress", countRange);
    for (json_reader &entry : reader.objects("evidence")) {
        evidence_key key;
        key.route = route_id(entry.text("route"));
        key.attemptKind = entry.enumeration("kind", kindNames);
        key.dataCentre = data_centre_id(entry.text("data_centre"));
        for (std::size_t side = 0; side < rolloutSideCount; ++side) {
            report.evidence[key].at(side) = decodeCounts(entry.object(sideNames.at(side)));
        }
    }
    return report;
}

} // namespace

std::string rolloutDecisionKey(const service_id &service)
{
    return std::string(decisionKeyPrefix) + service.value();
}

std::optional<service_id> serviceOfDecisionKey(const std::string &key)
{
    return key.starts_with(decisionKeyPrefix) ? std::optional(service_id(key.substr(decisionKeyPrefix.size()))) : std::nullopt;
}

std::string encodeRolloutDecision(const rollout_decision &decided, instant now, milliseconds unixNow)
{
    const auto left = std::chrono::duration_cast<milliseconds>(decided.completeBy.at() - now);
    return dump({{"target", decided.target.value()},
                 {"order", decided.order.value()},
                 {"state", enumName(decided.state, stateNames)},
                 {"trusted", encodeVersions(decided.trusted)},
                 {"rejected", encodeVersions(decided.rejected)},
                 {"generation", decided.generation.value()},
                 {"complete_by_ms", (unixNow + left).count()},
                 {"status_written", decided.isStatusWritten}});
}

outcome<rollout_decision> decodeRolloutDecision(const service_id &service, std::string_view text, instant now, milliseconds unixNow)
{
    BOOST_OUTCOME_TRY(reader, json_reader::parse(text, error_code::invalid_message, messageLimits));
    rollout_decision decided;
    decided.service = service;
    decided.target = service_version(reader.text("target"));
    decided.order = rollout_number(reader.integer("order"));
    decided.state = reader.enumeration("state", stateNames);
    decided.trusted = decodeVersions(reader, "trusted");
    decided.rejected = decodeVersions(reader, "rejected");
    decided.generation = fencing_token(reader.integer("generation"));
    decided.completeBy = deadline::after(now, milliseconds(reader.integer("complete_by_ms", unixTimeRange)) - unixNow);
    decided.isStatusWritten = reader.boolean("status_written");
    BOOST_OUTCOME_TRYV(reader.result());
    return decided;
}

std::string encodeRolloutReports(const std::vector<rollout_report> &reports)
{
    json list = json::array();
    for (const rollout_report &report : reports) {
        list.push_back(encodeReport(report));
    }
    return dump({{"rollouts", std::move(list)}});
}

outcome<std::vector<rollout_report>> decodeRolloutReports(std::string_view text)
{
    BOOST_OUTCOME_TRY(reader, json_reader::parse(text, error_code::invalid_message, messageLimits));
    std::vector<rollout_report> reports;
    for (json_reader &entry : reader.objects("rollouts")) {
        reports.push_back(decodeReport(entry));
    }
    BOOST_OUTCOME_TRYV(reader.result());
    return reports;
}

} // namespace burdockshelf
