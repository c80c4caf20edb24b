#include "forwarding/quota_broker.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// A holder that did not respond is not asked for this long, because each request that asks it loses the time of the query's timeout.
constexpr milliseconds unresponsiveHolderPause {500};

} // namespace

std::string_view quotaRefusalCauseName(quota_refusal_cause cause)
{
    static constexpr std::array<std::string_view, 4> names = {"used_up", "new_holder", "holder_silent", "holder_unknown"};
    return names.at(static_cast<std::size_t>(cause));
}

quota_broker::quota_broker(instance_id self, quota_tolerance tolerance, std::int64_t parts)
    : m_self(std::move(self))
    , m_shares(m_self, tolerance)
    , m_pool(parts, tolerance)
{
}

void quota_broker::setPlan(const traffic_plan &plan, instant now)
{
    m_shares.setPlan(plan, now);
    m_pool.setPlan(plan, now);
    std::unordered_map<workspace_id, lease_state> leases;
    for (const workspace_plan &workspace : plan.workspaces) {
        lease_state &state = leases[workspace.id];
        if (const auto known = m_leases.find(workspace.id); known != m_leases.end()) {
            state = known->second;
        }
        state.workspaceRate = workspace.ratePerSecond;
        state.workspaceBurst = workspace.burst;
    }
    m_leases = std::move(leases);
    applyLeaseLimits(now);
}

void quota_broker::setInstanceCount(std::int64_t count, instant now)
{
    m_shares.setInstanceCount(count, now);
    m_pool.setInstanceCount(count, now);
    applyLeaseLimits(now);
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
    const auto holder = m_holders.find(m_pool.partitionOf(workspace));
    const bool isHolderKnown = holder != m_holders.end() && holder->second.instance != m_self;
    const bool isHolderAskable = isHolderKnown && !isUnresponsive(holder->second.instance, now);
    const auto state = m_leases.find(workspace);
    if (!isHolderAskable || state == m_leases.end() || !state->second.lease.isRenewalDue(now)) {
        if (auto granted = takeLocally(workspace, cost, now)) {
            return *std::move(granted);
        }
    }
    if (m_pool.isHolderOf(workspace, now)) {
        return applyHolderResponse(workspace, cost, {m_self, {}}, m_pool.take(workspace, cost, now), now);
    }
    if (!isHolderKnown) {
        m_needsHolders = true;
        return takeWithoutPool(workspace, cost, quota_refusal_cause::holder_unknown, now);
    }
    if (!isHolderAskable) {
        return takeWithoutPool(workspace, cost, quota_refusal_cause::holder_silent, now);
    }
    return quota_pending {holder->second, {cost, reportTo(holder->second.instance, workspace, cost, now)}};
}

void quota_broker::acceptLease(
    const workspace_id &workspace, const peer_instance &holder, const pool_response &response, instant sentAt, instant now)
{
    const auto state = m_leases.find(workspace);
    if (state == m_leases.end() || !response.isHolder) {
        return;
    }
    state->second.respondingHolder = holder.instance;
    if (response.lease) {
        state->second.lease.accept(holder.instance, *response.lease, sentAt, now);
    }
}

quota_decision quota_broker::applyHolderResponse(
    const workspace_id &workspace, double cost, const peer_instance &holder, const std::optional<pool_response> &verdict, instant now)
{
    if (!verdict) {
        m_unresponsiveUntil[holder.instance] = deadline::after(now, unresponsiveHolderPause);
        m_needsHolders = true;
        return takeWithoutPool(workspace, cost, quota_refusal_cause::holder_silent, now);
    }
    m_unresponsiveUntil.erase(holder.instance);
    if (verdict->isGranted) {
        return quota_granted {{workspace, cost, holder}};
    }
    if (!verdict->isHolder) {
        m_needsHolders = true;
        return takeWithoutPool(workspace, cost, quota_refusal_cause::holder_unknown, now);
    }
    if (m_shares.hasLargeShares() || verdict->isFirstPeriod) {
        const auto cause = verdict->isFirstPeriod ? quota_refusal_cause::new_holder : quota_refusal_cause::used_up;
        quota_decision decision = takeWithoutPool(workspace, cost, cause, now);
        if (auto *refused = std::get_if<quota_refused>(&decision)) {
            refused->holder = holder.instance;
            refused->retryAfter = std::min(verdict->retryAfter, refused->retryAfter);
        }
        return decision;
    }
    if (auto granted = takeLocally(workspace, cost, now)) {
        return *std::move(granted);
    }
    // The pool is reachable and empty, so the workspace is at its limit. Debts of small shares are for times without the pool.
    return quota_refused {
        verdict->retryAfter, m_shares.shareOf(workspace), holder.instance, quota_refusal_cause::used_up, leasedRate(workspace, now)};
}

pool_response quota_broker::grantFromPool(const workspace_id &workspace, double cost, instant now)
{
    return m_pool.take(workspace, cost, now);
}

pool_response quota_broker::grantFromPool(const workspace_id &workspace, const instance_id &from, const pool_ask &ask, instant now)
{
    return m_pool.take(workspace, from, ask, now);
}

void quota_broker::acceptRefund(const workspace_id &workspace, double cost)
{
    m_pool.refundCost(workspace, cost);
}

std::optional<peer_instance> quota_broker::refundCost(const quota_grant &grant)
{
    if (!grant.chargedHolder) {
        if (const auto state = m_leases.find(grant.workspace); grant.leased > 0.0 && state != m_leases.end()) {
            state->second.lease.refundCost(grant.leased);
        }
        m_shares.refundCost(grant.workspace, grant.cost - grant.leased);
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

double quota_broker::leasedRate(const workspace_id &workspace, instant now) const
{
    const auto state = m_leases.find(workspace);
    return state == m_leases.end() ? 0.0 : state->second.lease.rate(now);
}

void quota_broker::applyLeaseLimits(instant now)
{
    // Without limits a lease is worth nothing.
    const bool hasLeases = !m_shares.hasLargeShares();
    for (auto &[workspace, state] : m_leases) {
        state.lease.setLimits(hasLeases ? state.workspaceRate : 0.0, hasLeases ? state.workspaceBurst : 0.0, now);
    }
}

double quota_broker::leasedLevel(const workspace_id &workspace, instant now)
{
    const auto state = m_leases.find(workspace);
    return state == m_leases.end() ? 0.0 : state->second.lease.level(now);
}

quota_granted quota_broker::chargeLease(const workspace_id &workspace, double cost, double leased, instant now)
{
    if (leased > 0.0) {
        m_leases.at(workspace).lease.take(leased, now);
    }
    return {{workspace, cost, std::nullopt, leased}};
}

std::optional<quota_granted> quota_broker::takeLocally(const workspace_id &workspace, double cost, instant now)
{
    const double leased = std::min(leasedLevel(workspace, now), cost);
    if (leased == cost) {
        return chargeLease(workspace, cost, leased, now);
    }
    if (m_shares.takeInFull(workspace, cost, now)) {
        return quota_granted {{workspace, cost, std::nullopt}};
    }
    if (leased > 0.0 && m_shares.takeInFull(workspace, cost - leased, now)) {
        return chargeLease(workspace, cost, leased, now);
    }
    return std::nullopt;
}

bool quota_broker::isUnresponsive(const instance_id &holder, instant now) const
{
    const auto found = m_unresponsiveUntil.find(holder);
    return found != m_unresponsiveUntil.end() && !found->second.hasPassed(now);
}

lease_report quota_broker::reportTo(const instance_id &holder, const workspace_id &workspace, double cost, instant now)
{
    const auto state = m_leases.find(workspace);
    // A holder that may not receive the request, or may not hold the partition, is given nothing back.
    if (state == m_leases.end() || state->second.respondingHolder != holder || m_unresponsiveUntil.count(holder) > 0) {
        return {};
    }
    return state->second.lease.report(holder, cost, now);
}

quota_decision quota_broker::takeWithoutPool(const workspace_id &workspace, double cost, quota_refusal_cause cause, instant now)
{
    const double leased = std::min(leasedLevel(workspace, now), cost);
    if (leased == cost || m_shares.take(workspace, cost - leased, cost, now)) {
        return chargeLease(workspace, cost, leased, now);
    }
    const auto shareWait = std::chrono::ceil<milliseconds>(m_shares.waitFor(workspace, cost, now));
    // Where shares are small, the pool is needed, which may be reachable again after the pause.
    const milliseconds wait = m_shares.hasLargeShares() ? shareWait : std::min(shareWait, unresponsiveHolderPause);
    return quota_refused {wait, m_shares.shareOf(workspace), std::nullopt, cause, leasedRate(workspace, now)};
}

} // namespace burdockshelf
