#include "forwarding/rate_lease.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

void rate_lease::setLimits(double workspaceRate, double workspaceBurst, instant now)
{
    advance(now);
    m_ownRate = workspaceRate;
    m_ownBurst = workspaceBurst;
    m_level = std::min(m_level, m_grant.burst * cut());
}

void rate_lease::accept(const instance_id &holder, const rate_lease_grant &grant, instant sentAt, instant now)
{
    if (sentAt < m_sentAt) {
        return;
    }
    advance(now);
    if (!isHeld(now) || m_holder != holder) {
        m_level = 0.0;
    }
    m_holder = holder;
    m_grant = grant;
    m_sentAt = sentAt;
    m_until = deadline::after(sentAt, grant.validFor);
    m_level = std::min(m_level, grant.burst * cut());
    m_updated = now;
}

bool rate_lease::isHeld(instant now) const
{
    return m_holder && !m_until.hasPassed(now);
}

bool rate_lease::isRenewalDue(instant now) const
{
    return isHeld(now) && now - m_sentAt >= renewAfter;
}

double rate_lease::level(instant now)
{
    advance(now);
    return isHeld(now) ? m_level : 0.0;
}

double rate_lease::rate(instant now) const
{
    return isHeld(now) ? m_grant.rate * cut() : 0.0;
}

void rate_lease::take(double amount, instant now)
{
    advance(now);
    m_level -= amount;
    m_spent += amount;
}

void rate_lease::refundCost(double amount)
{
    m_level = std::min(m_level + amount, m_grant.burst * cut());
    m_spent = std::max(m_spent - amount, 0.0);
}

lease_report rate_lease::report(const instance_id &holder, double cost, instant now)
{
    advance(now);
    lease_report made;
    made.spent = std::exchange(m_spent, 0.0);
    if (!isHeld(now)) {
        return made;
    }
    if (m_holder == holder) {
        made.returned = std::max(m_level - cost, 0.0);
        m_level -= made.returned;

    } else {
        made.givenUpRate = m_grant.rate;
        m_holder.reset();
        m_level = 0.0;
        // A lease from a response to an earlier request would be one that was given up.
        m_sentAt = now;
    }
    return made;
}

void rate_lease::advance(instant now)
{
    const instant end = std::min(now, m_until.at());
    if (m_holder && end > m_updated) {
        const std::chrono::duration<double> elapsed = end - m_updated;
        m_level = std::min(m_level + elapsed.count() * m_grant.rate * cut(), m_grant.burst * cut());
    }
    m_updated = std::max(m_updated, now);
}

double rate_lease::cut() const
{
    const double byRate = m_grant.workspaceRate > 0.0 ? m_ownRate / m_grant.workspaceRate : 0.0;
    const double byBurst = m_grant.workspaceBurst > 0.0 ? m_ownBurst / m_grant.workspaceBurst : byRate;
    return std::clamp(std::min(byRate, byBurst), 0.0, 1.0);
}

} // namespace burdockshelf
