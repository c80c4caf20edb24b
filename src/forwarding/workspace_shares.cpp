#include "forwarding/workspace_shares.h"

#include "core/digest.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace burdockshelf
{

namespace
{

// Fraction of the tolerance that is split as burst among the instances. The rest covers instances that do not know of each other yet,
// instances that restart with a full share, and partitions of the pool that move.
constexpr double burstFractionOfLargeShares = 0.6;
// Small shares hardly use a burst; more of the tolerance covers their debts.
constexpr double burstFractionOfSmallShares = 0.25;
constexpr double debtFractionOfSmallShares = 0.45;
// Up to this many instances, a share is large enough for prompts, and debts are rare.
constexpr std::int64_t instancesWithLargeShares = 16;
constexpr double maxEvenSplitFraction = 0.4;
// Covers plain calls, which are small and frequent, so that they are not delayed by a request to the pool.
constexpr double minEvenSplitFraction = 0.05;

} // namespace

double quota_tolerance::amountFor(double ratePerSecond, double burst) const
{
    const std::chrono::duration<double> seconds = window;
    return fixed + part * (ratePerSecond * seconds.count() + burst);
}

double workspace_shares::evenSplitFraction(std::int64_t instances)
{
    const double scale = static_cast<double>(instancesWithLargeShares) / static_cast<double>(std::max<std::int64_t>(instances, 1));
    return std::clamp(maxEvenSplitFraction * scale, minEvenSplitFraction, maxEvenSplitFraction);
}

bool workspace_shares::areSharesLarge(std::int64_t instances)
{
    return instances <= instancesWithLargeShares;
}

workspace_shares::workspace_shares(instance_id self, quota_tolerance tolerance)
    : m_self(std::move(self))
    , m_tolerance(tolerance)
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
    return take(workspace, cost, cost, now);
}

bool workspace_shares::take(const workspace_id &workspace, double cost, double wholeCost, instant now)
{
    account *target = find(workspace);
    if (target == nullptr) {
        return true;
    }
    const double burst = std::max(burstOf(*target), 1.0);
    const double level = target->window.level(now);
    if (level < std::min(cost, burst * 0.99) || (level < cost && !mayOverdraw(workspace, *target, wholeCost))) {
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

bool workspace_shares::hasLargeShares() const
{
    return areSharesLarge(m_instanceCount);
}

double workspace_shares::share() const
{
    return evenSplitFraction(m_instanceCount) / static_cast<double>(m_instanceCount);
}

double workspace_shares::burstOf(const account &target) const
{
    const double burstFraction = hasLargeShares() ? burstFractionOfLargeShares : burstFractionOfSmallShares;
    return target.burst * share() + m_tolerance.amountFor(target.rate, target.burst) * burstFraction / static_cast<double>(m_instanceCount);
}

bool workspace_shares::mayOverdraw(const workspace_id &workspace, const account &target, double cost) const
{
    if (hasLargeShares()) {
        return true;
    }
    const double debtors = m_tolerance.amountFor(target.rate, target.burst) * debtFractionOfSmallShares / cost;
    // The hash spreads the instances evenly, so that about as many are below the bound.
    const std::uint64_t rank = stableHash(m_self.value(), stableHash(workspace.value()));
    const double position = static_cast<double>(rank) / static_cast<double>(std::numeric_limits<std::uint64_t>::max());
    return position * static_cast<double>(m_instanceCount) < debtors;
}

} // namespace burdockshelf
