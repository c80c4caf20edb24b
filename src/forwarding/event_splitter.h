#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// Splits a stream of server-sent events into complete events and tracks the highest event id. When a stream breaks, the caller has thus
/// received no partial event, and the stream can resume after the last complete one. A stream that ends inside an event has been broken
/// off, however its connection ended.
class event_splitter
{
public:
    /// Longest event that is buffered, in bytes.
    static constexpr std::size_t maxEventBytes = 64 * 1024;

    /// Begins the output of another endpoint, which continues after lastId(). Drops the partial event of the output before it.
    void beginOutput();
    /// Adds bytes and returns the events that they complete. Events whose id is not greater than lastId() are left out. Returns nothing
    /// more once the output is broken.
    std::string take(std::string_view bytes);
    /// True when the output cannot be passed on: it does not continue where the stream before it broke off, or it contains the head of an
    /// HTTP response.
    bool isBroken() const;
    /// True when the output must not end here: inside an event, or before it has reached the event that the caller already has.
    bool isUnfinished() const;
    /// True while the start of an incomplete event is buffered. Line breaks after an event belong to no event.
    bool hasPartial() const;
    /// True when the incomplete event is longer than maxEventBytes. The stream has to be ended then, because its event may have no end.
    bool isPartialTooLong() const;
    /// takeRest() returns what is buffered when the stream has ended cleanly; dropPartial() discards it when the stream broke.
    std::string takeRest();
    void dropPartial();
    /// Highest id among the complete events so far and the id from setLastId(); unset before there is either.
    const std::optional<std::int64_t> &lastId() const;
    /// Sets the id after which a resumed stream continues.
    void setLastId(std::optional<std::int64_t> id);

private:
    static std::optional<std::int64_t> idOf(std::string_view event);

    bool acceptId(std::int64_t id);

    std::string m_partial;
    std::optional<std::int64_t> m_lastId;
    /// Highest id in the output of the present endpoint.
    std::optional<std::int64_t> m_outputLastId;
    /// Whether each id so far was one more than the id before it; unset before there are two.
    std::optional<bool> m_isConsecutive;
    /// Another endpoint has begun, and it has sent no new event yet.
    bool m_isContinuing = false;
    bool m_isBroken = false;
};

} // namespace burdockshelf
