#pragma once

#include "core/outcome.h"
#include "core/units.h"

#include <string>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// A server-sent event. The fields "event" and "retry" are ignored, since the router does not need them.
struct sse_event
{
    std::string id;
    std::string data;

    friend bool operator==(const sse_event &, const sse_event &) = default;
};

/// Incremental parser for server-sent events; the input may be split anywhere. Buffers at most one event, whose size is limited.
class sse_parser
{
public:
    explicit sse_parser(byte_count maxEventBytes);

    /// Parses the next bytes of the stream and returns the events that they complete. Every call after an error fails too.
    outcome<std::vector<sse_event>> feed(std::string_view bytes);

private:
    void endLine(std::vector<sse_event> &events);
    void setField(std::string_view name, std::string_view value);
    bool isTooLarge() const;

    std::size_t m_maxEventBytes;
    std::string m_line;
    sse_event m_event;
    bool m_hasData = false;
    bool m_isAfterCarriageReturn = false;
    bool m_isOverLimit = false;
};

} // namespace burdockshelf
