#include "forwarding/rate_lease_ledger.h"

#include "forwarding/rate_lease.h"

#include <algorithm>
#include <cmath>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr std::chrono::duration<double> useMemory {4.0};
// How much longer than the instance the holder counts a lease, for clocks that run at different speeds.
constexpr double clockDriftFraction = 0.05;
// A previous holder may respond to a last request while its successor already has the partition.
constexpr milliseconds successionMargin {300};
// An instance that asks less often would save up its lease in vain, since its burst is limited.
constexpr milliseconds maxPauseOfRegularUse {3000};
// Leases that are not used cost at most this fraction of what the workspace leaves of its rate.
constexpr double leasedFractionOfHeadroom = 0.8;
// A lease beyond this multiple of an instance's use would be saved up in vain.
constexpr double maxLeaseToUse = 4.0;
// A lease that shrinks less keeps its size, which bounds the reservations that are kept for one instance.
constexpr double steadyFraction = 0.8;
// Above this fraction of the pool's rate, rate that is reserved and not used is missed elsewhere.
constexpr double scarceFraction = 0.7;
constexpr milliseconds sweepInterval {100};
// Long enough for a lessee without reservations to have no regular use any more.
constexpr milliseconds lesseeMemory {10'000};

boot_clock::duration countedByHolder(milliseconds length)
{
    return std::chrono::ceil<milliseconds>(length * (1.0 + clockDriftFraction));
}

} // namespace

void decaying_rate::add(double amount, instant now)
{
    m_perSecond = perSecond(now) + amount / useMemory.count();
    m_updated = now;
}

double decaying_rate::perSecond(instant now) const
{
    const std::chrono::duration<double> elapsed = now - m_updated;
    return m_perSecond * std::exp(-std::max(elapsed.count(), 0.0) / useMemory.count());
}

void rate_lease_ledger::restart(instant now)
{
    m_lessees.clear();
    m_reserved = 0.0;
    m_demand = {};
    m_givenUpRate = 0.0;
    m_firstPeriodUntil = deadline::after(now, countedByHolder(rate_lease::length) + successionMargin);
}

void rate_lease_ledger::setLimits(double poolRate, double workspaceRate, double workspaceBurst, bool isEnabled)
{
    m_poolRate = poolRate;
    m_workspaceRate = workspaceRate;
    m_workspaceBurst = workspaceBurst;
    m_isEnabled = isEnabled;
}

void rate_lease_ledger::noteRequest(const instance_id &from, const pool_ask &ask, instant now)
{
    m_demand.add(ask.cost + ask.lease.spent, now);
    if (!m_isEnabled) {
        return;
    }
    lessee &asking = m_lessees[from];
    asking.isRegular = now - asking.lastRequest <= maxPauseOfRegularUse;
    asking.lastRequest = now;
    asking.use.add(ask.cost + ask.lease.spent, now);
    if (isFirstPeriod(now)) {
        m_givenUpRate += std::max(ask.lease.givenUpRate, 0.0);
    }
}

void rate_lease_ledger::noteOwnUse(double cost, instant now)
{
    m_demand.add(cost, now);
}

std::optional<rate_lease_grant> rate_lease_ledger::grant(const instance_id &to, double wholeBurst, instant now)
{
    const auto found = m_lessees.find(to);
    if (!m_isEnabled || found == m_lessees.end() || !found->second.isRegular) {
        return std::nullopt;
    }
    lessee &target = found->second;
    m_reserved -= reservedFor(target);
    dropEnded(target, now);
    const double available = std::max(leasableRate() - unknownRate(now) - m_reserved, 0.0);
    const double rate = std::min(steadySize(target, sizeFor(target, now)), available);
    // A smaller lease would replace the one that the instance has, whose rate stays reserved all the same. When the workspace needs its
    // whole rate, the instance uses the larger one until that ends.
    const bool isScarce = m_demand.perSecond(now) > m_poolRate * scarceFraction;
    const bool isWorthwhile = rate > 0.0 && (!isScarce || rate >= reservedFor(target));
    if (isWorthwhile) {
        reserve(target, rate, now);
    }
    m_reserved += reservedFor(target);
    if (!isWorthwhile) {
        return std::nullopt;
    }
    return rate_lease_grant {rate, wholeBurst * rate / leasableRate(), rate_lease::length, m_workspaceRate, m_workspaceBurst};
}

double rate_lease_ledger::reservedRate(instant now)
{
    if (m_nextSweep.hasPassed(now)) {
        sweep(now);
    }
    return m_reserved + unknownRate(now);
}

double rate_lease_ledger::leasableRate() const
{
    return m_poolRate * leasableFraction;
}

bool rate_lease_ledger::isFirstPeriod(instant now) const
{
    return m_isEnabled && !m_firstPeriodUntil.hasPassed(now);
}

double rate_lease_ledger::sizeFor(const lessee &to, instant now) const
{
    const double demand = m_demand.perSecond(now);
    const double use = to.use.perSecond(now);
    if (demand <= 0.0) {
        return 0.0;
    }
    const double budget = std::min(leasableRate(), leasedFractionOfHeadroom * std::max(m_poolRate - demand, 0.0));
    return std::min(budget * use / demand, maxLeaseToUse * use);
}

double rate_lease_ledger::steadySize(const lessee &to, double rate)
{
    if (to.reservations.empty()) {
        return rate;
    }
    const double last = to.reservations.back().rate;
    return rate <= last && rate >= last * steadyFraction ? last : rate;
}

void rate_lease_ledger::reserve(lessee &to, double rate, instant now)
{
    while (!to.reservations.empty() && to.reservations.back().rate <= rate) {
        to.reservations.pop_back();
    }
    to.reservations.push_back({rate, deadline::after(now, countedByHolder(rate_lease::length))});
}

double rate_lease_ledger::reservedFor(const lessee &of)
{
    return of.reservations.empty() ? 0.0 : of.reservations.front().rate;
}

void rate_lease_ledger::dropEnded(lessee &of, instant now)
{
    const auto isOver = [now](const reservation &entry) {
        return entry.until.hasPassed(now);
    };
    of.reservations.erase(of.reservations.begin(), std::find_if_not(of.reservations.begin(), of.reservations.end(), isOver));
}

void rate_lease_ledger::sweep(instant now)
{
    m_nextSweep = deadline::after(now, sweepInterval);
    m_reserved = 0.0;
    for (auto at = m_lessees.begin(); at != m_lessees.end();) {
        dropEnded(at->second, now);
        m_reserved += reservedFor(at->second);
        const bool isForgotten = at->second.reservations.empty() && now - at->second.lastRequest > lesseeMemory;
        at = isForgotten ? m_lessees.erase(at) : std::next(at);
    }
}

double rate_lease_ledger::unknownRate(instant now) const
{
    return isFirstPeriod(now) ? std::max(leasableRate() - m_givenUpRate, 0.0) : 0.0;
}

} // namespace burdockshelf
