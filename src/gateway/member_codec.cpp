#include "gateway/member_codec.h"

#include <cmath>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

std::string encodeMemberReport(const member_report &report)
{
    nlohmann::json demand = nlohmann::json::object();
    for (const auto &[workspace, perSecond] : report.demand) {
        if (perSecond > 0.0) {
            demand[workspace.value()] = std::llround(perSecond);
        }
    }
    return nlohmann::json {{"incarnation", report.incarnation.value()}, {"sequence", report.sequence}, {"demand", demand}}.dump();
}

outcome<member_report> decodeMemberReport(std::string_view text)
{
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    const bool isUsable = parsed.is_object() && parsed.contains("incarnation") && parsed["incarnation"].is_string()
        && parsed.contains("sequence") && parsed["sequence"].is_number_integer() && parsed.contains("demand")
        && parsed["demand"].is_object();
    if (!isUsable) {
        return failure(error_code::invalid_message, "not a member's report");
    }
    member_report report;
    report.incarnation = incarnation_id(parsed["incarnation"].get<std::string>());
    report.sequence = parsed["sequence"].get<std::int64_t>();
    for (const auto &[workspace, perSecond] : parsed["demand"].items()) {
        if (perSecond.is_number()) {
            report.demand[workspace_id(workspace)] = perSecond.get<double>();
        }
    }
    return report;
}

} // namespace burdockshelf
