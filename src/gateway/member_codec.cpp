#include "gateway/member_codec.h"

#include "wire/json_limits.h"

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

// More than an instance of any version sends.
constexpr std::size_t maxSpeeds = 64;

} // namespace

std::string encodeMemberReport(const member_report &report)
{
    nlohmann::json encoded = {{"incarnation", report.incarnation.value()}, {"sequence", report.sequence}};
    for (const seen_speed &seen : report.speeds) {
        encoded["speeds"][seen.endpoint.value()] = seen.percent;
    }
    return encoded.dump();
}

outcome<member_report> decodeMemberReport(std::string_view text)
{
    const auto parsed = parseWithin(text, messageLimits);
    const bool isUsable = parsed.is_object() && parsed.contains("incarnation") && parsed["incarnation"].is_string()
        && parsed.contains("sequence") && parsed["sequence"].is_number_integer();
    if (!isUsable) {
        return failure(error_code::invalid_message, "not a valid member report");
    }
    member_report report;
    report.incarnation = incarnation_id(parsed["incarnation"].get<std::string>());
    report.sequence = parsed["sequence"].get<std::int64_t>();
    // The speeds are a hint: a report with unreadable ones still says that the instance serves.
    const auto speeds = parsed.find("speeds");
    if (speeds != parsed.end() && speeds->is_object()) {
        for (const auto &[endpoint, percent] : speeds->items()) {
            if (percent.is_number_integer() && report.speeds.size() < maxSpeeds) {
                report.speeds.push_back({endpoint_id(endpoint), percent.get<std::int64_t>()});
            }
        }
    }
    return report;
}

} // namespace burdockshelf
