#pragma once

#include "core/boot_clock.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// How long ago all records of a topic were last known, and why not since. Does no I/O. Owned by topic_follower.
class topic_age
{
public:
    /// The topic is overdue when its age exceeds the limit; never when there is none.
    explicit topic_age(std::optional<std::chrono::milliseconds> limit);

    /// The topic is followed from this time on.
    void begin(instant now);
    /// All records that the store had at the given time are known. Returns the age that the topic had reached if it was overdue and no
    /// longer is.
    std::optional<boot_clock::duration> noteUpToDate(instant at, instant now);
    /// What has kept the topic from being up to date. The latest counts.
    void noteObstacle(std::string_view cause);
    /// Returns true once when the topic has become overdue.
    bool takeOverdue(instant now);

    /// Time since all records were last known, or since the topic is followed.
    boot_clock::duration age(instant now) const;
    /// Zero until all records have been known once.
    std::chrono::milliseconds silence(instant now) const;
    /// Empty if there was no obstacle since the topic was last up to date.
    const std::string &obstacle() const;

private:
    bool isBeyondLimit(instant now) const;

    std::optional<std::chrono::milliseconds> m_limit;
    instant m_begunAt;
    std::optional<instant> m_upToDateAt;
    std::string m_obstacle;
    bool m_isOverdue = false;
};

} // namespace burdockshelf
