#include "endpoints/decode_stream.h"

#include "wire/engine_codec.h"

#include <charconv>
#include <utility>

namespace burdockshelf
{

namespace
{

constexpr std::string_view doneMarker = "[DONE]";

std::optional<std::int64_t> readPosition(const std::string &id)
{
    std::int64_t position = 0;
    const auto [end, status] = std::from_chars(id.data(), id.data() + id.size(), position);
    if (status != std::errc() || end != id.data() + id.size()) {
        return std::nullopt;
    }
    return position;
}

} // namespace

decode_stream::decode_stream(attempt_id attempt, std::int64_t from, std::string finishReason, byte_count maxEventBytes)
    : m_attempt(std::move(attempt))
    , m_expectedPosition(from)
    , m_finishReason(std::move(finishReason))
    , m_parser(maxEventBytes)
{
}

decode_progress decode_stream::feed(std::string_view bytes)
{
    decode_progress progress;
    const auto events = m_parser.feed(bytes);
    if (!events) {
        progress.end = failed(events.error().code, events.error().message);
        return progress;
    }
    for (const sse_event &event : events.value()) {
        handleEvent(event, progress);
        if (progress.end) {
            break;
        }
    }
    return progress;
}

void decode_stream::handleEvent(const sse_event &event, decode_progress &progress)
{
    if (event.data == doneMarker) {
        handleDone(progress);
        return;
    }
    // Engines that number their events do so in the id field. Events that were received before are dropped.
    const auto position = readPosition(event.id);
    if (position && *position < m_expectedPosition) {
        return;
    }
    if (position && *position > m_expectedPosition) {
        progress.end = failed(error_code::connection_lost, "the engine's event stream skipped events");
        return;
    }
    handleData(event, progress);
}

void decode_stream::handleDone(decode_progress &progress) const
{
    if (m_finishReason.empty()) {
        progress.end = failed(error_code::connection_lost, "the engine's event stream ended without a finish reason");
        return;
    }
    progress.end = decode_done {m_attempt, m_usage.value_or(token_usage {}), m_finishReason, m_usage.has_value()};
}

void decode_stream::handleData(const sse_event &event, decode_progress &progress)
{
    const auto read = engine_codec::readEvent(event.data);
    if (!read) {
        progress.end = failed(read.error().code, read.error().message);
        return;
    }
    const engine_event &content = read.value();
    if (!content.finishReason.empty()) {
        m_finishReason = content.finishReason;
    }
    if (content.usage) {
        m_usage = content.usage;
    }
    progress.events.push_back(
        {m_attempt, m_expectedPosition, content.text, event.data, content.finishReason, content.usage, !content.hasChoice});
    ++m_expectedPosition;
}

attempt_failed decode_stream::failed(error_code code, std::string message) const
{
    return {m_attempt, {code, std::move(message)}, false};
}

} // namespace burdockshelf
