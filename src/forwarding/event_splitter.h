#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// Splits a stream of server-sent events into complete events and tracks the id of the last one, so that the caller never receives a
/// partial event and a broken stream can resume after the last complete one.
class event_splitter
{
public:
    /// Adds bytes and returns the events that they complete. Events whose id is not greater than the last one are left out.
    std::string take(std::string_view bytes);
    /// True while the start of an incomplete event is buffered.
    bool hasPartial() const;
    /// takeRest() returns the buffered remainder when the stream has ended cleanly; dropPartial() discards it when the stream broke.
    std::string takeRest();
    void dropPartial();
    /// Id of the last complete event; unset before the first event with an id.
    const std::optional<std::int64_t> &lastId() const;
    void setLastId(std::optional<std::int64_t> id);

private:
    static std::optional<std::int64_t> idOf(std::string_view event);

    std::string m_partial;
    std::optional<std::int64_t> m_lastId;
};

} // namespace burdockshelf
