#pragma once

#include "core/deadline.h"
#include "forwarding/traffic_plan.h"

#include <map>

namespace burdockshelf
{

/// What an instance expects of a service's capacity.
struct capacity_outlook
{
    /// Fraction of the recent reservations of all ranks that were refused.
    double scarcity = 0.0;
    /// Probability that a reservation of the rank is granted.
    double grantsPerAsk = 1.0;
    /// Reservations of the rank and of the ranks before it that were recently granted here per second.
    double grantsPerSecond = 0.0;

    bool isScarce() const;
};

/// The recent reservations at the engines of one service, by rank. Old ones lose weight, so that an instance without recent evidence
/// expects capacity and asks.
class room_monitor
{
public:
    void noteGranted(priority_rank rank, instant now);
    void noteRefused(priority_rank rank, instant now);
    capacity_outlook outlook(priority_rank rank, instant now) const;

private:
    /// Number of events, of which each loses weight exponentially.
    class decayed_count
    {
    public:
        void add(instant now);
        double at(instant now) const;

    private:
        double m_value = 0.0;
        instant m_updatedAt;
    };

    struct evidence
    {
        decayed_count granted;
        decayed_count refused;
    };

    std::map<priority_rank, evidence> m_byRank;
};

} // namespace burdockshelf
