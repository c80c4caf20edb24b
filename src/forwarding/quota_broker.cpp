#include "forwarding/quota_broker.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// A holder that did not respond is not asked for this long, because each request that asks it loses the time of the query's timeout.
constexpr milliseconds unresponsiveHolderPause {500};

} // namespace

quota_broker::quota_broker(instance_id self, quota_tolerance tolerance, std::int64_t parts)
    : m_self(std::move(self))
    , m_shares(m_self, tolerance)
    , m_pool(parts)
{
}

void quota_broker::setPlan(const traffic_plan &plan, instant now)
{
    m_shares.setPlan(plan, now);
    m_pool.setPlan(plan, now);
}

void quota_broker::setInstanceCount(std::int64_t count, instant now)
{
    m_shares.setInstanceCount(count, now);
    m_pool.setInstanceCount(count, now);
}

void quota_broker::setHeldPartitions(const std::vector<quota_partition> &parts, deadline until, instant now)
{
    m_pool.setHeldPartitions(parts, until, now);
}

void quota_broker::setHolders(const std::vector<quota_partition_holder> &holders)
{
    m_holders.clear();
    for (const quota_partition_holder &assignment : holders) {
        m_holders[assignment.quotaPartition] = assignment.holder;
    }
    m_needsHolders = false;
}

quota_partition quota_broker::partitionOf(const workspace_id &workspace) const
{
    return m_pool.partitionOf(workspace);
}

quota_decision quota_broker::ask(const workspace_id &workspace, double cost, instant now)
{
    if (m_shares.takeInFull(workspace, cost, now)) {
        return quota_granted {{workspace, cost, std::nullopt}};
    }
    if (m_pool.isHolderOf(workspace, now)) {
        return applyHolderResponse(workspace, cost, {m_self, {}}, m_pool.take(workspace, cost, now), now);
    }
    const auto holder = m_holders.find(m_pool.partitionOf(workspace));
    if (holder == m_holders.end() || holder->second.instance == m_self) {
        m_needsHolders = true;
        return takeFromShare(workspace, cost, now);
    }
    const auto unresponsive = m_unresponsiveUntil.find(holder->second.instance);
    if (unresponsive != m_unresponsiveUntil.end() && !unresponsive->second.hasPassed(now)) {
        return takeFromShare(workspace, cost, now);
    }
    return quota_pending {holder->second};
}

quota_decision quota_broker::applyHolderResponse(
    const workspace_id &workspace, double cost, const peer_instance &holder, const std::optional<pool_response> &verdict, instant now)
{
    if (verdict && verdict->isGranted) {
        m_unresponsiveUntil.erase(holder.instance);
        return quota_granted {{workspace, cost, holder}};
    }
    if (!verdict) {
        m_unresponsiveUntil[holder.instance] = deadline::after(now, unresponsiveHolderPause);
    }
    if (!verdict || !verdict->isHolder) {
        m_needsHolders = true;
        return takeFromShare(workspace, cost, now);
    }
    if (m_shares.hasLargeShares()) {
        quota_decision decision = takeFromShare(workspace, cost, now);
        if (auto *refused = std::get_if<quota_refused>(&decision)) {
            refused->holder = holder.instance;
            refused->retryAfter = std::min(verdict->retryAfter, refused->retryAfter);
        }
        return decision;
    }
    // The pool is reachable and empty, so the workspace is at its limit. Debts of small shares are for times without the pool.
    return quota_refused {verdict->retryAfter, m_shares.shareOf(workspace), holder.instance};
}

pool_response quota_broker::grantFromPool(const workspace_id &workspace, double cost, instant now)
{
    return m_pool.take(workspace, cost, now);
}

void quota_broker::acceptRefund(const workspace_id &workspace, double cost)
{
    m_pool.refundCost(workspace, cost);
}

std::optional<peer_instance> quota_broker::refundCost(const quota_grant &grant)
{
    if (!grant.chargedHolder) {
        m_shares.refundCost(grant.workspace, grant.cost);
        return std::nullopt;
    }
    if (grant.chargedHolder->instance == m_self) {
        m_pool.refundCost(grant.workspace, grant.cost);
        return std::nullopt;
    }
    return grant.chargedHolder;
}

bool quota_broker::needsHolderRefresh() const
{
    return m_needsHolders;
}

quota_decision quota_broker::takeFromShare(const workspace_id &workspace, double cost, instant now)
{
    if (m_shares.take(workspace, cost, now)) {
        return quota_granted {{workspace, cost, std::nullopt}};
    }
    const auto shareWait = std::chrono::ceil<milliseconds>(m_shares.waitFor(workspace, cost, now));
    // Where shares are small, the pool is needed, which may be reachable again after the pause.
    const milliseconds wait = m_shares.hasLargeShares() ? shareWait : std::min(shareWait, unresponsiveHolderPause);
    return quota_refused {wait, m_shares.shareOf(workspace), std::nullopt};
}

} // namespace burdockshelf
