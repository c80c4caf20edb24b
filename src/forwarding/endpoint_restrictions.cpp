#include "forwarding/endpoint_restrictions.h"

namespace burdockshelf
{

notice_change endpoint_restrictions::note(const endpoint_process &from, const endpoint_notice &notice, instant now, random_source &random)
{
    noteStarted(from);
    notice_change change = m_notices.note(from, notice, now);
    if (change.discarded) {
        m_returns.erase(*change.discarded);
    }
    if (change.isPauseExtended) {
        m_returns[from.id].begin(m_notices.pausedUntil(from), now, random);
    }
    return change;
}

bool endpoint_restrictions::noteStarted(const endpoint_process &process)
{
    const bool isRestarted = m_notices.noteStarted(process);
    if (isRestarted) {
        m_returns.erase(process.id);
    }
    return isRestarted;
}

endpoint_availability endpoint_restrictions::check(const endpoint_process &process, instant now) const
{
    if (m_notices.isLeaving(process)) {
        return {availability_condition::leaving};
    }
    const auto returning = m_returns.find(process.id);
    return returning == m_returns.end() ? endpoint_availability {availability_condition::available} : returning->second.check(now);
}

void endpoint_restrictions::noteSent(const endpoint_process &process, instant now)
{
    const auto returning = m_returns.find(process.id);
    if (returning != m_returns.end()) {
        returning->second.noteSent(now);
    }
}

bool endpoint_restrictions::noteAnswered(const endpoint_process &process, instant sentAt, int status)
{
    const auto returning = m_returns.find(process.id);
    if (returning == m_returns.end() || !returning->second.noteAnswered(sentAt, status)) {
        return false;
    }
    m_returns.erase(returning);
    return true;
}

void endpoint_restrictions::noteEnded(const endpoint_process &process, instant sentAt, instant now)
{
    const auto returning = m_returns.find(process.id);
    if (returning != m_returns.end()) {
        returning->second.noteEnded(sentAt, now);
    }
}

} // namespace burdockshelf
