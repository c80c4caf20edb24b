#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// Cuts a stream of server-sent events into whole events and knows the id of the last one, so that a broken stream never shows half an
/// event and can go on behind the last whole one.
class event_splitter
{
public:
    /// Takes bytes and returns those that complete events. Events whose id is not above the last one are left out.
    std::string take(std::string_view bytes);
    /// True while the begin of an event waits for its end.
    bool hasPartial() const;
    /// Drops the begin of an event whose rest will not come, and what is left at a clean end.
    std::string takeRest();
    void dropPartial();
    /// Id of the last whole event; not set before the first.
    const std::optional<std::int64_t> &lastId() const;
    void setLastId(std::optional<std::int64_t> id);

private:
    static std::optional<std::int64_t> idOf(std::string_view event);

    std::string m_partial;
    std::optional<std::int64_t> m_lastId;
};

} // namespace burdockshelf
