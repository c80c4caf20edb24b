#include "wire/sse_parser.h"

#include <utility>

namespace burdockshelf
{

sse_parser::sse_parser(byte_count maxEventBytes)
    : m_maxEventBytes(static_cast<std::size_t>(maxEventBytes.value()))
{
}

outcome<std::vector<sse_event>> sse_parser::feed(std::string_view bytes)
{
    std::vector<sse_event> events;
    for (const char byte : bytes) {
        if (m_isOverLimit) {
            return failure(error_code::too_large, "event stream: an event exceeds the size limit");
        }
        const bool isLineFeedOfCrLf = std::exchange(m_isAfterCarriageReturn, byte == '\r') && byte == '\n';
        if (isLineFeedOfCrLf) {
            continue;
        }
        if (byte == '\r' || byte == '\n') {
            endLine(events);
        } else {
            m_line += byte;
        }
        m_isOverLimit = isTooLarge();
    }
    if (m_isOverLimit) {
        return failure(error_code::too_large, "event stream: an event exceeds the size limit");
    }
    return events;
}

void sse_parser::endLine(std::vector<sse_event> &events)
{
    const std::string line = std::exchange(m_line, {});
    if (!line.empty()) {
        const std::size_t colon = line.find(':');
        const std::string_view name = std::string_view(line).substr(0, colon);
        std::string_view value = colon == std::string::npos ? std::string_view() : std::string_view(line).substr(colon + 1);
        if (value.starts_with(' ')) {
            value.remove_prefix(1);
        }
        setField(name, value);
        return;
    }
    if (std::exchange(m_hasData, false)) {
        events.push_back(std::exchange(m_event, {}));
    }
    m_event = {};
}

void sse_parser::setField(std::string_view name, std::string_view value)
{
    if (name == "id") {
        m_event.id = value;
    } else if (name == "data") {
        if (std::exchange(m_hasData, true)) {
            m_event.data += '\n';
        }
        m_event.data += value;
    }
}

bool sse_parser::isTooLarge() const
{
    return m_line.size() + m_event.data.size() + m_event.id.size() > m_maxEventBytes;
}

} // namespace burdockshelf
