#include "logging/log_line.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

// Values may come from callers and endpoints, and a long one would take the place of other lines in the log.
constexpr std::size_t maxValueBytes = 1024;
constexpr std::string_view cutMark = "...";

bool canStayUnquoted(std::string_view value)
{
    return !value.empty()
        && std::all_of(value.begin(), value.end(), [](char character) { return character > ' ' && character != '"' && character != '='; });
}

} // namespace

log_line::log_line(std::string_view component, std::string_view event)
{
    m_text.reserve(256);
    m_text.append("part=").append(component).append(" event=").append(event);
}

log_line &log_line::add(std::string_view name, std::string_view value)
{
    if (value.size() > maxValueBytes) {
        return add(name, std::string(value.substr(0, maxValueBytes - cutMark.size())).append(cutMark));
    }
    if (canStayUnquoted(value)) {
        return addRaw(name, value);
    }
    std::string quoted = "\"";
    for (const char character : value) {
        const bool isControl = static_cast<unsigned char>(character) < ' ';
        quoted += isControl ? ' ' : (character == '"' ? '\'' : character);
    }
    quoted += '"';
    return addRaw(name, quoted);
}

log_line &log_line::add(std::string_view name, const char *value)
{
    return add(name, std::string_view(value));
}

log_line &log_line::add(std::string_view name, bool value)
{
    return addRaw(name, value ? "true" : "false");
}

log_line &log_line::add(std::string_view name, boot_clock::duration value)
{
    return addRaw(name, std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(value).count()));
}

const std::string &log_line::text() const
{
    return m_text;
}

log_line &log_line::addRaw(std::string_view name, std::string_view value)
{
    m_text.append(" ").append(name).append("=").append(value);
    return *this;
}

} // namespace burdockshelf
