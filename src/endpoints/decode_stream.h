#pragma once

#include "endpoints/endpoint_messages.h"
#include "wire/sse_parser.h"

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockshelf
{

/// What newly received bytes of a decode stream yield: the events that are now complete, and possibly the end of the stream.
struct decode_progress
{
    std::vector<decode_event> events;
    /// Set when the stream has ended, successfully or not.
    std::optional<std::variant<decode_done, attempt_failed>> end;
};

/// Parses the response stream of one decode attempt into typed events with positions. The stream is complete only when [DONE] follows an
/// event with a finish reason. A gap in the positions counts as a lost connection, so that the caller never receives a response with events
/// missing.
class decode_stream
{
public:
    /// The first event is expected at position from: 0 for a new stream, the next position for a resumed one. The finish reason is the one
    /// that an event before this position carried; empty for a new stream, or when there was none.
    decode_stream(attempt_id attempt, std::int64_t from, std::string finishReason, byte_count maxEventBytes);

    decode_progress feed(std::string_view bytes);

private:
    void handleEvent(const sse_event &event, decode_progress &progress);
    void handleDone(decode_progress &progress) const;
    void handleData(const sse_event &event, decode_progress &progress);
    attempt_failed failed(error_code code, std::string message) const;

    attempt_id m_attempt;
    std::int64_t m_expectedPosition;
    std::string m_finishReason;
    std::optional<token_usage> m_usage;
    sse_parser m_parser;
};

} // namespace burdockshelf
