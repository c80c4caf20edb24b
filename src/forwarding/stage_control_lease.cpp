#include "forwarding/stage_control_lease.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

// Validity of one confirmation, well below the time after which the store assigns stage control to another instance.
constexpr std::chrono::milliseconds confirmationLifetime {1500};

} // namespace

stage_control_lease::stage_control_lease(std::chrono::milliseconds minHandoverInterval)
    : m_minHandoverInterval(minHandoverInterval)
{
}

void stage_control_lease::noteResponse(bool holdsStageControl, fencing_token generation, instant sentAt)
{
    if (generation < m_generation) {
        return;
    }
    if (!holdsStageControl) {
        m_generation = generation;
        drop();
        return;
    }
    // After a gap in the confirmations another instance may have held stage control in between.
    const bool isContinued = m_isHeld && !m_confirmedUntil.hasPassed(sentAt);
    if (!isContinued) {
        m_waitUntil = deadline::after(sentAt, m_minHandoverInterval + confirmationLifetime);
    }
    m_isHeld = true;
    m_generation = generation;
    m_confirmedUntil = std::max(m_confirmedUntil, deadline::after(sentAt, confirmationLifetime));
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
