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

    /// Adds bytes and returns the events that they complete. Events whose id is not greater than lastId() are left out.
    std::string take(std::string_view bytes);
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

    std::string m_partial;
    std::optional<std::int64_t> m_lastId;
};

} // namespace burdockshelf
