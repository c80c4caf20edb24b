#include "forwarding/quota_pool.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

constexpr std::chrono::milliseconds maxRetryAfter {2000};
// Fraction of the pool's burst that moves into the leases when the whole leasable rate is leased.
constexpr double leasedBurstFraction = 0.4;
// Fraction of the tolerance that leases have as additional burst, because a part of the pool's burst is hardly one prompt for each
// instance. Shares use 0.7 of the tolerance.
constexpr double leasedToleranceFraction = 0.2;

} // namespace

quota_pool::quota_pool(std::int64_t parts, quota_tolerance tolerance)
    : m_parts(std::max<std::int64_t>(parts, 1))
    , m_tolerance(tolerance)
{
}

void quota_pool::setPlan(const traffic_plan &plan, instant now)
{
    std::unordered_map<workspace_id, account> accounts;
    for (const workspace_plan &workspace : plan.workspaces) {
        const auto known = m_accounts.find(workspace.id);
        account next;
        if (known != m_accounts.end()) {
            next = known->second;
        } else {
            next.quotaPartition = partitionOf(workspace.id);
            next.window = fractional_token_bucket::startEmpty(0.0, 0.0, now);
            next.leases.restart(now);
        }
        next.workspaceRate = workspace.ratePerSecond;
        next.workspaceBurst = workspace.burst;
        applyFraction(next, now);
        accounts.emplace(workspace.id, next);
    }
    m_accounts = std::move(accounts);
}

void quota_pool::setInstanceCount(std::int64_t count, instant now)
{
    m_instanceCount = count;
    for (auto &[workspace, target] : m_accounts) {
        applyFraction(target, now);
    }
}

void quota_pool::applyFraction(account &target, instant now) const
{
    const double fraction = 1.0 - workspace_shares::evenSplitFraction(m_instanceCount);
    target.rate = target.workspaceRate * fraction;
    target.burst = target.workspaceBurst * fraction;
    const double tolerance = m_tolerance.amountFor(target.workspaceRate, target.workspaceBurst);
    target.wholeLeaseBurst = leasedBurstFraction * target.burst + leasedToleranceFraction * tolerance;
    const bool hasLeases = !workspace_shares::areSharesLarge(m_instanceCount);
    target.leases.setLimits(target.rate, target.workspaceRate, target.workspaceBurst, hasLeases);
    applyLeases(target, now);
}

void quota_pool::applyLeases(account &target, instant now)
{
    const double reserved = target.leases.reservedRate(now);
    const double leasable = target.leases.leasableRate();
    const double leasedPart = leasable > 0.0 ? std::min(reserved / leasable, 1.0) : 0.0;
    const double burst = target.burst * (1.0 - leasedBurstFraction * leasedPart);
    target.window.setRateAndBurst(std::max(target.rate - reserved, 0.0), burst, now);
}

void quota_pool::setHeldPartitions(const std::vector<quota_partition> &parts, deadline until, instant now)
{
    // After a gap between two confirmations another instance may have held the partition in between.
    const bool isContinued = !m_heldUntil.hasPassed(now);
    for (auto &[workspace, target] : m_accounts) {
        const bool wasHeld = isContinued && std::find(m_held.begin(), m_held.end(), target.quotaPartition) != m_held.end();
        if (!wasHeld) {
            target.window = fractional_token_bucket::startEmpty(0.0, 0.0, now);
            target.leases.restart(now);
            applyLeases(target, now);
        }
    }
    m_held = parts;
    m_heldUntil = until;
}

quota_partition quota_pool::partitionOf(const workspace_id &workspace) const
{
    return quota_partition(static_cast<std::int64_t>(stableHash(workspace.value()) % static_cast<std::uint64_t>(m_parts)));
}

bool quota_pool::isHolderOf(const workspace_id &workspace, instant now) const
{
    return !m_heldUntil.hasPassed(now) && std::find(m_held.begin(), m_held.end(), partitionOf(workspace)) != m_held.end();
}

quota_pool::account *quota_pool::findHeld(const workspace_id &workspace, instant now)
{
    const auto found = m_accounts.find(workspace);
    return found == m_accounts.end() || !isHolderOf(workspace, now) ? nullptr : &found->second;
}

pool_response quota_pool::take(const workspace_id &workspace, double cost, instant now)
{
    account *target = findHeld(workspace, now);
    if (target == nullptr) {
        return {};
    }
    applyLeases(*target, now);
    target->leases.noteOwnUse(cost, now);
    return takeFrom(*target, cost, now);
}

pool_response quota_pool::take(const workspace_id &workspace, const instance_id &from, const pool_ask &ask, instant now)
{
    account *target = findHeld(workspace, now);
    if (target == nullptr) {
        return {};
    }
    target->leases.noteRequest(from, ask, now);
    applyLeases(*target, now);
    target->window.refundCost(std::max(ask.lease.returned, 0.0));
    pool_response response = takeFrom(*target, ask.cost, now);
    response.lease = target->leases.grant(from, target->wholeLeaseBurst, now);
    applyLeases(*target, now);
    return response;
}

pool_response quota_pool::takeFrom(account &target, double cost, instant now)
{
    // A request that is larger than the burst needs a full bucket and leaves it in debt: the negative refund charges the excess.
    const double burst = target.window.burst();
    if (target.window.take(std::min(cost, burst), now)) {
        target.window.refundCost(std::min(burst - cost, 0.0));
        return {true, true, {}};
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(target.window.waitFor(std::min(cost, burst), now));
    return {true, false, std::min(wait, maxRetryAfter), std::nullopt, target.leases.isFirstPeriod(now)};
}

void quota_pool::refundCost(const workspace_id &workspace, double cost)
{
    const auto found = m_accounts.find(workspace);
    if (found != m_accounts.end()) {
        found->second.window.refundCost(cost);
    }
}

} // namespace burdockshelf
