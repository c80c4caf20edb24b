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
// No field of an event begins like this.
constexpr std::string_view statusLineStart = "HTTP/1.";

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

void event_splitter::beginOutput()
{
    m_partial.clear();
    m_outputLastId.reset();
    m_isContinuing = m_lastId.has_value();
    m_isBroken = false;
}

std::string event_splitter::take(std::string_view bytes)
{
    if (m_isBroken) {
        return {};
    }
    // The bytes of earlier calls contain no whole event.
    const std::size_t searchFrom = m_partial.size() - std::min(m_partial.size(), maxSplitLineEnd);
    m_partial.append(bytes);
    std::string complete;
    std::string_view rest = m_partial;
    for (std::size_t end = endOfEvent(rest, searchFrom); end != std::string_view::npos; end = endOfEvent(rest)) {
        const std::string_view event = rest.substr(0, end);
        const auto id = idOf(event);
        m_isBroken = event.starts_with(statusLineStart);
        if (!m_isBroken && (!id || acceptId(*id))) {
            complete.append(event);
        }
        if (m_isBroken) {
            m_partial.clear();
            return complete;
        }
        rest.remove_prefix(end);
    }
    m_partial.erase(0, m_partial.size() - rest.size());
    return complete;
}

bool event_splitter::acceptId(std::int64_t id)
{
    m_outputLastId = std::max(m_outputLastId.value_or(id), id);
    if (m_lastId && id <= *m_lastId) {
        return false;
    }
    const bool isNext = m_lastId && id == *m_lastId + 1;
    if (m_isContinuing && m_isConsecutive.value_or(false) && !isNext) {
        m_isBroken = true;
        return false;
    }
    if (m_lastId) {
        m_isConsecutive = m_isConsecutive.value_or(true) && isNext;
    }
    m_isContinuing = false;
    m_lastId = id;
    return true;
}

bool event_splitter::isBroken() const
{
    return m_isBroken;
}

bool event_splitter::isUnfinished() const
{
    return hasPartial() || (m_outputLastId && m_lastId && *m_outputLastId < *m_lastId);
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
