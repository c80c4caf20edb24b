#pragma once

#include "core/deadline.h"
#include "forwarding/quota_messages.h"

#include <map>
#include <optional>
#include <vector>

namespace burdockshelf
{

/// A rate of use that forgets exponentially.
class decaying_rate
{
public:
    void add(double amount, instant now);
    double perSecond(instant now) const;

private:
    double m_perSecond = 0.0;
    instant m_updated;
};

/// The leases that the holder of a partition has granted on the pool of one workspace. The rate of each lease is reserved until the lease
/// has ended at the instance for certain, whether or not the instance received it. A new holder reserves the leasable part of the rate for
/// one lease period, because the previous holder may have leased all of it; instances that give up such a lease shorten this.
class rate_lease_ledger
{
public:
    /// Fraction of the pool's rate that may be leased. The rest serves bursts and instances without a lease, and is all that a new holder
    /// has in its first period.
    static constexpr double leasableFraction = 0.4;

    /// Forgets all leases and begins a first period.
    void restart(instant now);
    /// The rate of the pool, and the limits of the workspace. Leases end and begin only with isEnabled; those granted stay reserved.
    void setLimits(double poolRate, double workspaceRate, double workspaceBurst, bool isEnabled);
    /// Notes a request, with what the instance reports of its lease.
    void noteRequest(const instance_id &from, const pool_ask &ask, instant now);
    /// Notes tokens that the holder's own requests need.
    void noteOwnUse(double cost, instant now);
    /// A lease for an instance, sized by its recent use; nothing when it has no regular use, or when the rate is needed otherwise. The
    /// burst is for a lease of the whole leasable rate.
    std::optional<rate_lease_grant> grant(const instance_id &to, double wholeBurst, instant now);
    /// The rate that may be in use by leases, those of the previous holder included.
    double reservedRate(instant now);
    double leasableRate() const;
    bool isFirstPeriod(instant now) const;

private:
    struct reservation
    {
        double rate = 0.0;
        deadline until;
    };

    struct lessee
    {
        /// Ascending ends and descending rates; the first rate is reserved.
        std::vector<reservation> reservations;
        decaying_rate use;
        instant lastRequest;
        bool isRegular = false;
    };

    double sizeFor(const lessee &to, instant now) const;
    static double steadySize(const lessee &to, double rate);
    static void reserve(lessee &to, double rate, instant now);
    static double reservedFor(const lessee &of);
    static void dropEnded(lessee &of, instant now);
    void sweep(instant now);
    double unknownRate(instant now) const;

    double m_poolRate = 0.0;
    double m_workspaceRate = 0.0;
    double m_workspaceBurst = 0.0;
    bool m_isEnabled = false;
    std::map<instance_id, lessee> m_lessees;
    /// Sum of what is reserved for the lessees.
    double m_reserved = 0.0;
    decaying_rate m_demand;
    /// End of the first period.
    deadline m_firstPeriodUntil;
    double m_givenUpRate = 0.0;
    deadline m_nextSweep;
};

} // namespace burdockshelf
