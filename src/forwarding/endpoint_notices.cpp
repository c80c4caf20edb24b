#include "forwarding/endpoint_notices.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

// Every restart of an endpoint may bring a new id, so the records of ended processes would grow without a bound.
constexpr std::size_t maxRecords = 4096;

} // namespace

bool endpoint_notice::isEmpty() const
{
    return !isLeaving && !pausedUntil && !isPauseMalformed;
}

notice_change endpoint_notices::note(const endpoint_process &from, const endpoint_notice &notice, instant now)
{
    notice_change change;
    const auto found = m_records.find(from.id);
    if (notice.isEmpty() || (found != m_records.end() && from.startTime < found->second.startTime)) {
        return change;
    }
    noteStarted(from);
    record &known = m_records[from.id];
    known.startTime = from.startTime;
    known.sequence = ++m_lastSequence;
    if (notice.isLeaving) {
        change.isNewlyLeaving = !known.isLeaving;
        known.isLeaving = true;
    }
    if (notice.isPauseMalformed) {
        change.isFirstMalformed = !known.hasBeenMalformed;
        known.hasBeenMalformed = true;
    }
    const deadline requested = std::min(notice.pausedUntil.value_or(deadline()), deadline::after(now, maxEndpointPause));
    if (requested > known.pausedUntil && !requested.hasPassed(now)) {
        change.isNewlyPausing = known.pausedUntil.hasPassed(now);
        change.isPauseExtended = true;
        known.pausedUntil = requested;
    }
    if (m_records.size() > maxRecords) {
        change.discarded = discardOldest();
    }
    return change;
}

bool endpoint_notices::noteStarted(const endpoint_process &process)
{
    const auto found = m_records.find(process.id);
    if (found == m_records.end() || process.startTime <= found->second.startTime) {
        return false;
    }
    m_records.erase(found);
    return true;
}

bool endpoint_notices::isLeaving(const endpoint_process &process) const
{
    const record *known = find(process);
    return known != nullptr && known->isLeaving;
}

deadline endpoint_notices::pausedUntil(const endpoint_process &process) const
{
    const record *known = find(process);
    return known == nullptr ? deadline() : known->pausedUntil;
}

const endpoint_notices::record *endpoint_notices::find(const endpoint_process &process) const
{
    const auto found = m_records.find(process.id);
    return found == m_records.end() || found->second.startTime != process.startTime ? nullptr : &found->second;
}

endpoint_id endpoint_notices::discardOldest()
{
    const auto oldest = std::min_element(
        m_records.begin(), m_records.end(), [](const auto &one, const auto &other) { return one.second.sequence < other.second.sequence; });
    endpoint_id discarded = oldest->first;
    m_records.erase(oldest);
    return discarded;
}

} // namespace burdockshelf
