#include "forwarding/quota_pool.h"

#include "core/digest.h"
#include "forwarding/workspace_shares.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

constexpr std::chrono::milliseconds maxRetryAfter {2000};

} // namespace

quota_pool::quota_pool(std::int64_t parts)
    : m_parts(std::max<std::int64_t>(parts, 1))
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
    target.window.setRateAndBurst(target.rate, target.burst, now);
}

void quota_pool::setHeldPartitions(const std::vector<quota_partition> &parts, deadline until, instant now)
{
    // After a gap between two confirmations another instance may have held the partition in between.
    const bool isContinued = !m_heldUntil.hasPassed(now);
    for (auto &[workspace, target] : m_accounts) {
        const bool wasHeld = isContinued && std::find(m_held.begin(), m_held.end(), target.quotaPartition) != m_held.end();
        if (!wasHeld) {
            target.window = fractional_token_bucket::startEmpty(target.rate, target.burst, now);
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

pool_response quota_pool::take(const workspace_id &workspace, double cost, instant now)
{
    const auto found = m_accounts.find(workspace);
    if (found == m_accounts.end() || !isHolderOf(workspace, now)) {
        return {};
    }
    account &target = found->second;
    if (target.window.take(std::min(cost, target.burst), now)) {
        // A request that is larger than the burst needs a full bucket and leaves it in debt: the negative refund charges the excess.
        target.window.refundCost(std::min(target.burst - cost, 0.0));
        return {true, true, {}};
    }
    const auto wait = std::chrono::ceil<std::chrono::milliseconds>(target.window.waitFor(std::min(cost, target.burst), now));
    return {true, false, std::min(wait, maxRetryAfter)};
}

void quota_pool::refundCost(const workspace_id &workspace, double cost)
{
    const auto found = m_accounts.find(workspace);
    if (found != m_accounts.end()) {
        found->second.window.refundCost(cost);
    }
}

} // namespace burdockshelf
