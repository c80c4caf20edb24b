#include "gateway/crash_report_codec.h"

#include "wire/json_reader.h"

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t maxIdBytes = 64;
// The clocks of the instances may differ by seconds, and a report arrives within a second of being written. A larger difference means that
// this instance has started since.
constexpr std::chrono::seconds maxClockDifference {30};
constexpr number_range ageRange = {0, 86'400'000};
// Up to the year 9999, in Unix milliseconds.
constexpr number_range writtenRange = {0, 253'402'300'799'999};

std::string boundedId(const std::string &id)
{
    return id.substr(0, maxIdBytes);
}

std::int64_t millisecondsBetween(instant from, instant to)
{
    return std::max<std::int64_t>(std::chrono::duration_cast<milliseconds>(to - from).count(), 0);
}

json encodeSuspect(const crash_suspect &suspect)
{
    json parts = json::array();
    for (const prompt_part_id &part : suspect.parts.shared) {
        parts.push_back(boundedId(part.value()));
    }
    return {{"request", boundedId(suspect.request.value())}, {"own", boundedId(suspect.parts.own.value())}, {"parts", std::move(parts)}};
}

crash_suspect decodeSuspect(json_reader &reader)
{
    crash_suspect suspect;
    suspect.request = attempt_id(reader.text("request"));
    suspect.parts.own = prompt_part_id(reader.text("own"));
    for (std::string &part : reader.texts("parts")) {
        suspect.parts.shared.emplace_back(std::move(part));
    }
    return suspect;
}

// The delay is the time between the writing of the report and now.
outcome<crash_report> decodeReport(json_reader &reader, instant now, milliseconds delay)
{
    crash_report report;
    report.writer = incarnation_id(reader.text("incarnation"));
    report.sequence = reader.integer("sequence");
    for (json_reader &entry : reader.objects("crashes")) {
        endpoint_crash crash;
        crash.process.id = endpoint_id(entry.text("endpoint"));
        crash.process.startTime = endpoint_start_time(entry.integer("started"));
        crash.at = now - delay - milliseconds(entry.integer("age_ms", ageRange));
        for (json_reader &suspect : entry.objects("suspects")) {
            crash.suspects.push_back(decodeSuspect(suspect));
        }
        report.crashes.push_back(std::move(crash));
    }
    for (json_reader &entry : reader.objects("quarantined")) {
        const milliseconds left(entry.integer("left_ms", ageRange));
        report.quarantined.push_back({prompt_part_id(entry.text("part")), deadline::after(now, left - delay), {}});
    }
    BOOST_OUTCOME_TRYV(reader.result());
    return report;
}

} // namespace

std::string encodeCrashReport(const crash_report &report, instant now, milliseconds unixNow)
{
    json crashes = json::array();
    for (const endpoint_crash &crash : report.crashes) {
        json suspects = json::array();
        for (const crash_suspect &suspect : crash.suspects) {
            suspects.push_back(encodeSuspect(suspect));
        }
        crashes.push_back({{"endpoint", crash.process.id.value()},
                           {"started", crash.process.startTime.value()},
                           {"age_ms", millisecondsBetween(crash.at, now)},
                           {"suspects", std::move(suspects)}});
    }
    json quarantined = json::array();
    for (const quarantined_part &part : report.quarantined) {
        quarantined.push_back({{"part", boundedId(part.part.value())}, {"left_ms", millisecondsBetween(now, part.until.at())}});
    }
    const json text = {{"written_ms", unixNow.count()},
                       {"incarnation", report.writer.value()},
                       {"sequence", report.sequence},
                       {"crashes", std::move(crashes)},
                       {"quarantined", std::move(quarantined)}};
    return text.dump(-1, ' ', false, json::error_handler_t::replace);
}

outcome<crash_report> decodeCrashReport(std::string_view text, instant now)
{
    BOOST_OUTCOME_TRY(reader, json_reader::parse(text, error_code::invalid_message, messageLimits));
    return decodeReport(reader, now, milliseconds::zero());
}

outcome<crash_report> decodeStoredCrashReport(std::string_view text, instant now, milliseconds unixNow)
{
    BOOST_OUTCOME_TRY(reader, json_reader::parse(text, error_code::invalid_message, messageLimits));
    const milliseconds sinceWritten = unixNow - milliseconds(reader.integer("written_ms", writtenRange));
    return decodeReport(reader, now, sinceWritten > maxClockDifference ? sinceWritten : milliseconds::zero());
}

} // namespace burdockshelf
