#include "forwarding/room_monitor.h"

#include <cmath>

namespace burdockshelf
{

namespace
{

// An instance gets one or two grants a second, so a shorter time leaves too few; bursts last for several seconds, so a longer one is out of
// date.
constexpr std::chrono::duration<double> evidenceLifetime {3.0};
// Weight of the assumption that reservations are granted, in reservations.
constexpr double priorAsks = 2.0;
// Weight of the evidence of all ranks in the estimate for one of them, in reservations.
constexpr double sharedAsks = 6.0;
// Endpoints are asked in the order of their load, so that even a busy service grants most reservations at the first endpoint.
constexpr double scarceFrom = 0.4;

} // namespace

bool capacity_outlook::isScarce() const
{
    return scarcity >= scarceFrom;
}

void room_monitor::decayed_count::add(instant now)
{
    m_value = at(now) + 1.0;
    m_updatedAt = now;
}

double room_monitor::decayed_count::at(instant now) const
{
    const std::chrono::duration<double> age = now - m_updatedAt;
    return m_value * std::exp(-age / evidenceLifetime);
}

void room_monitor::noteGranted(priority_rank rank, instant now)
{
    m_byRank[rank].granted.add(now);
}

void room_monitor::noteRefused(priority_rank rank, instant now)
{
    m_byRank[rank].refused.add(now);
}

capacity_outlook room_monitor::outlook(priority_rank rank, instant now) const
{
    double granted = priorAsks;
    double refused = 0.0;
    double grantedUpToRank = 0.0;
    double ownGranted = 0.0;
    double ownRefused = 0.0;
    for (const auto &[known, seen] : m_byRank) {
        granted += seen.granted.at(now);
        refused += seen.refused.at(now);
        grantedUpToRank += known <= rank ? seen.granted.at(now) : 0.0;
        if (known == rank) {
            ownGranted = seen.granted.at(now);
            ownRefused = seen.refused.at(now);
        }
    }
    const double shared = granted / (granted + refused);
    capacity_outlook result;
    result.scarcity = 1.0 - shared;
    result.grantsPerAsk = (ownGranted + sharedAsks * shared) / (ownGranted + ownRefused + sharedAsks);
    result.grantsPerSecond = grantedUpToRank / evidenceLifetime.count();
    return result;
}

} // namespace burdockshelf
