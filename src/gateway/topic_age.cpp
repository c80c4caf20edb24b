#include "gateway/topic_age.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

topic_age::topic_age(std::optional<std::chrono::milliseconds> limit)
    : m_limit(limit)
{
}

void topic_age::begin(instant now)
{
    m_begunAt = now;
    m_obstacle.clear();
    m_isOverdue = false;
}

std::optional<boot_clock::duration> topic_age::noteUpToDate(instant at, instant now)
{
    const boot_clock::duration before = age(now);
    m_upToDateAt = std::max(m_upToDateAt.value_or(at), at);
    if (isBeyondLimit(now)) {
        return std::nullopt;
    }
    m_obstacle.clear();
    return std::exchange(m_isOverdue, false) ? std::optional(before) : std::nullopt;
}

void topic_age::noteObstacle(std::string_view cause)
{
    m_obstacle = cause;
}

bool topic_age::takeOverdue(instant now)
{
    return isBeyondLimit(now) && !std::exchange(m_isOverdue, true);
}

boot_clock::duration topic_age::age(instant now) const
{
    return now - std::max(m_upToDateAt.value_or(m_begunAt), m_begunAt);
}

std::chrono::milliseconds topic_age::silence(instant now) const
{
    return m_upToDateAt ? std::chrono::floor<std::chrono::milliseconds>(now - *m_upToDateAt) : std::chrono::milliseconds::zero();
}

const std::string &topic_age::obstacle() const
{
    return m_obstacle;
}

bool topic_age::isBeyondLimit(instant now) const
{
    return m_limit && age(now) > *m_limit;
}

} // namespace burdockshelf
