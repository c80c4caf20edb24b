#pragma once

#include "endpoints/endpoint_messages.h"
#include "wire/sse_parser.h"

#include <optional>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockshelf
{

/// What the bytes of a decode stream have completed.
struct decode_progress
{
    std::vector<decode_event> events;
    /// Set at the end of the stream; nothing comes after it.
    std::optional<std::variant<decode_done, attempt_failed>> end;
};

/// Turns the bytes of one decode attempt into typed events with positions. The stream is whole only when [DONE] follows an event with a
/// finish reason; a gap in the positions counts as a lost connection, so that the caller never gets an answer with a hole.
class decode_stream
{
public:
    decode_stream(attempt_id attempt, std::int64_t from, std::string finishReason, byte_count maxEventBytes);

    decode_progress feed(std::string_view bytes);

private:
    void takeEvent(const sse_event &event, decode_progress &progress);
    void takeDone(decode_progress &progress) const;
    void takeData(const sse_event &event, decode_progress &progress);
    attempt_failed failed(error_code code, std::string message) const;

    attempt_id m_attempt;
    std::int64_t m_next;
    std::string m_finishReason;
    std::optional<token_usage> m_usage;
    sse_parser m_parser;
};

} // namespace burdockshelf
