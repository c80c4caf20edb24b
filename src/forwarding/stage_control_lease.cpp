#include "forwarding/stage_control_lease.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

// How long one confirmation lets the holder act; half of the time after which the store gives the duty to another.
constexpr std::chrono::milliseconds confirmedTime {1500};

} // namespace

stage_control_lease::stage_control_lease(std::chrono::milliseconds minHandoverInterval)
    : m_turnTime(minHandoverInterval)
{
}

void stage_control_lease::noteResponse(bool holdsDuty, fencing_token generation, instant sentAt)
{
    if (generation < m_generation) {
        return;
    }
    if (!holdsDuty) {
        m_generation = generation;
        drop();
        return;
    }
    // A gap in the confirmations may have let another holder in between.
    const bool isContinued = m_isHeld && !m_confirmedUntil.hasPassed(sentAt);
    if (!isContinued) {
        m_waitUntil = deadline::after(sentAt, m_turnTime + confirmedTime);
    }
    m_isHeld = true;
    m_generation = generation;
    m_confirmedUntil = std::max(m_confirmedUntil, deadline::after(sentAt, confirmedTime));
}

void stage_control_lease::drop()
{
    m_isHeld = false;
    m_waitUntil = deadline::never();
}

bool stage_control_lease::mayIssueOrders(instant now) const
{
    return m_isHeld && !m_confirmedUntil.hasPassed(now) && m_waitUntil.hasPassed(now);
}

bool stage_control_lease::isHeld() const
{
    return m_isHeld;
}

fencing_token stage_control_lease::generation() const
{
    return m_generation;
}

} // namespace burdockshelf
