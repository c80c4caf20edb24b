#include "gateway/member_codec.h"

#include <nlohmann/json.hpp>

namespace burdockshelf
{

std::string encodeMemberReport(const member_report &report)
{
    return nlohmann::json {{"incarnation", report.incarnation.value()}, {"sequence", report.sequence}}.dump();
}

outcome<member_report> decodeMemberReport(std::string_view text)
{
    const auto parsed = nlohmann::json::parse(text, nullptr, false);
    const bool isUsable = parsed.is_object() && parsed.contains("incarnation") && parsed["incarnation"].is_string()
        && parsed.contains("sequence") && parsed["sequence"].is_number_integer();
    if (!isUsable) {
        return failure(error_code::invalid_message, "not a valid member report");
    }
    member_report report;
    report.incarnation = incarnation_id(parsed["incarnation"].get<std::string>());
    report.sequence = parsed["sequence"].get<std::int64_t>();
    return report;
}

} // namespace burdockshelf
