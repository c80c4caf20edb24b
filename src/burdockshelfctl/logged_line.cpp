#include "burdockshelfctl/logged_line.h"

#include <charconv>

namespace burdockshelf
{

namespace
{

constexpr std::string_view timeName = "time_ms";
constexpr std::string_view blanks = " \t\r";

/// A named value at the begin of the text; takes it off.
outcome<std::pair<std::string, std::string>> takeValue(std::string_view &text)
{
    const std::size_t equals = text.find('=');
    const std::string_view name = text.substr(0, equals);
    if (equals == std::string_view::npos || name.empty() || name.find_first_of(blanks) != std::string_view::npos) {
        return failure(error_code::invalid_message, "'" + std::string(text.substr(0, text.find(' '))) + "' is no named value");
    }
    text.remove_prefix(equals + 1);
    const bool isQuoted = !text.empty() && text.front() == '"';
    if (isQuoted) {
        text.remove_prefix(1);
    }
    const std::size_t end = isQuoted ? text.find('"') : text.find_first_of(blanks);
    if (isQuoted && end == std::string_view::npos) {
        return failure(error_code::invalid_message, "the value of '" + std::string(name) + "' has no closing quote");
    }
    std::pair<std::string, std::string> read {name, text.substr(0, end)};
    text.remove_prefix(end == std::string_view::npos ? text.size() : end + (isQuoted ? 1 : 0));
    return read;
}

void skipBlanks(std::string_view &text)
{
    const std::size_t first = text.find_first_not_of(blanks);
    text.remove_prefix(first == std::string_view::npos ? text.size() : first);
}

/// The last word in front of the line's first value.
std::string_view instanceBefore(std::string_view prefix, std::string_view logName)
{
    const std::size_t last = prefix.find_last_not_of(blanks);
    if (last == std::string_view::npos) {
        return logName;
    }
    prefix = prefix.substr(0, last + 1);
    const std::size_t blank = prefix.find_last_of(blanks);
    return blank == std::string_view::npos ? prefix : prefix.substr(blank + 1);
}

} // namespace

std::string_view logged_line::valueOf(std::string_view name) const
{
    const auto found = values.find(name);
    return found == values.end() ? std::string_view() : std::string_view(found->second);
}

outcome<std::optional<logged_line>> readLoggedLine(std::string_view line, std::string_view logName)
{
    const std::size_t start = line.find(std::string(timeName) + "=");
    if (start == std::string_view::npos) {
        return std::optional<logged_line>();
    }
    logged_line record;
    record.instance = instanceBefore(line.substr(0, start), logName);
    std::string_view rest = line.substr(start);
    while (skipBlanks(rest), !rest.empty()) {
        BOOST_OUTCOME_TRY(value, takeValue(rest));
        record.values.insert_or_assign(std::move(value.first), std::move(value.second));
    }
    const std::string time(record.valueOf(timeName));
    std::int64_t written = 0;
    const auto [stop, problem] = std::from_chars(time.data(), time.data() + time.size(), written);
    if (problem != std::errc() || stop != time.data() + time.size()) {
        return failure(error_code::invalid_message, "'" + time + "' is no time in milliseconds");
    }
    record.writtenAt = std::chrono::milliseconds(written);
    record.part = record.valueOf("part");
    record.event = record.valueOf("event");
    if (record.part.empty() || record.event.empty()) {
        return failure(error_code::invalid_message, "the line names no part or no event");
    }
    for (const std::string_view taken : {timeName, std::string_view("part"), std::string_view("event")}) {
        record.values.erase(record.values.find(taken));
    }
    return std::optional<logged_line>(std::move(record));
}

} // namespace burdockshelf
