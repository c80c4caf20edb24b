#include "forwarding/workspace_shares.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

// Fraction of the tolerance that is split as burst among the instances. The rest covers instances that do not know of each other yet,
// instances that restart with a full share, and partitions of the pool that move.
constexpr double burstFractionOfTolerance = 0.6;

} // namespace

workspace_shares::workspace_shares(quota_tolerance tolerance)
    : m_tolerance(tolerance)
{
}

void workspace_shares::setPlan(const traffic_plan &plan, instant now)
{
    std::unordered_map<workspace_id, account> accounts;
    for (const workspace_plan &workspace : plan.workspaces) {
        const auto known = m_accounts.find(workspace.id);
        account next = known != m_accounts.end() ? known->second : account();
        next.rate = workspace.ratePerSecond;
        next.burst = workspace.burst;
        if (known == m_accounts.end()) {
            next.window = fractional_token_bucket(next.rate * share(), burstOf(next), now);
        }
        applyShare(next, now);
        accounts.emplace(workspace.id, next);
    }
    m_accounts = std::move(accounts);
}

void workspace_shares::setInstanceCount(std::int64_t count, instant now)
{
    m_instanceCount = std::max<std::int64_t>(count, 1);
    for (auto &[workspace, target] : m_accounts) {
        applyShare(target, now);
    }
}

double workspace_shares::costOf(const workspace_plan &workspace, std::optional<token_count> prompt, token_count output)
{
    if (!workspace.countsTokens) {
        return 1.0;
    }
    return static_cast<double>(prompt ? (*prompt + output).value() : workspace.defaultCost);
}

bool workspace_shares::takeInFull(const workspace_id &workspace, double cost, instant now)
{
    account *target = find(workspace);
    return target == nullptr || target->window.take(cost, now);
}

bool workspace_shares::take(const workspace_id &workspace, double cost, instant now)
{
    account *target = find(workspace);
    if (target == nullptr) {
        return true;
    }
    const double burst = std::max(burstOf(*target), 1.0);
    if (target->window.level(now) < std::min(cost, burst * 0.99)) {
        return false;
    }
    // A negative refund charges the cost.
    target->window.refundCost(-cost);
    return true;
}

void workspace_shares::refundCost(const workspace_id &workspace, double cost)
{
    if (account *target = find(workspace)) {
        target->window.refundCost(cost);
    }
}

boot_clock::duration workspace_shares::waitFor(const workspace_id &workspace, double cost, instant now)
{
    account *target = find(workspace);
    return target == nullptr ? boot_clock::duration() : target->window.waitFor(std::min(cost, burstOf(*target)), now);
}

double workspace_shares::shareOf(const workspace_id &workspace) const
{
    return m_accounts.count(workspace) > 0 ? share() : 0.0;
}

workspace_shares::account *workspace_shares::find(const workspace_id &workspace)
{
    const auto found = m_accounts.find(workspace);
    return found == m_accounts.end() || found->second.rate <= 0.0 ? nullptr : &found->second;
}

void workspace_shares::applyShare(account &target, instant now) const
{
    target.window.setRateAndBurst(target.rate * share(), burstOf(target), now);
}

double workspace_shares::share() const
{
    return evenSplitFraction / static_cast<double>(m_instanceCount);
}

double workspace_shares::burstOf(const account &target) const
{
    const std::chrono::duration<double> window = m_tolerance.window;
    const double tolerance = m_tolerance.fixed + m_tolerance.part * (target.rate * window.count() + target.burst);
    return target.burst * share() + tolerance * burstFractionOfTolerance / static_cast<double>(m_instanceCount);
}

} // namespace burdockshelf
