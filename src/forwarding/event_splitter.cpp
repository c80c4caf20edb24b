#include "forwarding/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace burdockshelf
{

namespace
{

// Longest part of the blank line after an event that may have arrived without its last byte.
constexpr std::size_t maxSplitLineEnd = 2;

// The position after the blank line that ends the first event, or npos. The search starts at the given position.
std::size_t endOfEvent(std::string_view text, std::size_t from = 0)
{
    for (std::size_t at = text.find('\n', from); at != std::string_view::npos; at = text.find('\n', at + 1)) {
        std::size_t next = at + 1;
        if (next < text.size() && text[next] == '\r') {
            ++next;
        }
        if (next < text.size() && text[next] == '\n') {
            return next + 1;
        }
    }
    return std::string_view::npos;
}

} // namespace

std::string event_splitter::take(std::string_view bytes)
{
    // The bytes of earlier calls contain no whole event.
    const std::size_t searchFrom = m_partial.size() - std::min(m_partial.size(), maxSplitLineEnd);
    m_partial.append(bytes);
    std::string complete;
    std::string_view rest = m_partial;
    for (std::size_t end = endOfEvent(rest, searchFrom); end != std::string_view::npos; end = endOfEvent(rest)) {
        const std::string_view event = rest.substr(0, end);
        const auto id = idOf(event);
        if (!id || !m_lastId || *id > *m_lastId) {
            complete.append(event);
        }
        if (id) {
            m_lastId = m_lastId && *m_lastId > *id ? m_lastId : id;
        }
        rest.remove_prefix(end);
    }
    m_partial.erase(0, m_partial.size() - rest.size());
    return complete;
}

bool event_splitter::hasPartial() const
{
    return m_partial.find_first_not_of("\r\n") != std::string::npos;
}

bool event_splitter::isPartialTooLong() const
{
    return m_partial.size() > maxEventBytes;
}

std::string event_splitter::takeRest()
{
    return std::exchange(m_partial, {});
}

void event_splitter::dropPartial()
{
    m_partial.clear();
}

const std::optional<std::int64_t> &event_splitter::lastId() const
{
    return m_lastId;
}

void event_splitter::setLastId(std::optional<std::int64_t> id)
{
    m_lastId = id;
}

std::optional<std::int64_t> event_splitter::idOf(std::string_view event)
{
    while (!event.empty()) {
        const auto end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (!line.starts_with("id:")) {
            continue;
        }
        line.remove_prefix(3);
        while (!line.empty() && line.front() == ' ') {
            line.remove_prefix(1);
        }
        std::int64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc()) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace burdockshelf
