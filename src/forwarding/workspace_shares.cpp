#include "forwarding/workspace_shares.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

// Part of every quota that is split evenly.
constexpr double evenPart = 0.4;
// Part of the fleet's tolerance that serves bursts at single instances. The rest covers instances that have not heard of each other yet,
// and instances that start anew with a full bucket.
constexpr double burstPartOfSlack = 0.6;
// Demand is smoothed over about this time, because single requests are large compared with a share.
constexpr double smoothingSeconds = 8.0;

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
        account next;
        if (known != m_accounts.end()) {
            next = known->second;
        } else {
            next.share = 1.0 / static_cast<double>(m_instanceCount);
        }
        next.rate = workspace.ratePerSecond;
        next.burst = workspace.burst;
        if (known == m_accounts.end()) {
            next.window = rate_window(next.rate * next.share, burstOf(next), now);
        }
        applyShare(next, now);
        accounts.emplace(workspace.id, next);
    }
    m_accounts = std::move(accounts);
}

void workspace_shares::setDemands(std::int64_t instanceCount,
                                  const workspace_demand *own,
                                  const std::vector<const workspace_demand *> &all,
                                  instant now)
{
    m_instanceCount = std::max<std::int64_t>(instanceCount, 1);
    const double even = 1.0 / static_cast<double>(m_instanceCount);
    for (auto &[workspace, target] : m_accounts) {
        double sum = 0.0;
        for (const workspace_demand *demand : all) {
            const auto found = demand->find(workspace);
            sum += found == demand->end() ? 0.0 : found->second;
        }
        target.share = even * evenPart;
        if (own != nullptr) {
            const auto found = own->find(workspace);
            const double mine = found == own->end() ? 0.0 : found->second;
            target.share += (1.0 - evenPart) * (sum > 0.0 ? mine / sum : even);
        }
        applyShare(target, now);
    }
}

double workspace_shares::costOf(const workspace_plan &workspace, std::optional<token_count> prompt, token_count output)
{
    if (!workspace.countsTokens) {
        return 1.0;
    }
    return static_cast<double>(prompt ? (*prompt + output).value() : workspace.plainCost);
}

bool workspace_shares::take(const workspace_id &workspace, double cost, instant now)
{
    const auto found = m_accounts.find(workspace);
    if (found == m_accounts.end() || found->second.rate <= 0.0) {
        return true;
    }
    account &target = found->second;
    target.asked += cost;
    // A request larger than the whole share needs a full bucket and leaves a debt.
    const double burst = std::max(burstOf(target), 1.0);
    if (target.window.level(now) < std::min(cost, burst * 0.99)) {
        return false;
    }
    target.window.giveBack(-cost);
    return true;
}

void workspace_shares::giveBack(const workspace_id &workspace, double cost)
{
    const auto found = m_accounts.find(workspace);
    if (found != m_accounts.end() && found->second.rate > 0.0) {
        found->second.window.giveBack(cost);
    }
}

boot_clock::duration workspace_shares::waitFor(const workspace_id &workspace, double cost, instant now)
{
    const auto found = m_accounts.find(workspace);
    if (found == m_accounts.end()) {
        return {};
    }
    account &target = found->second;
    return target.window.waitFor(std::min(cost, burstOf(target)), now);
}

workspace_demand workspace_shares::demand(instant now)
{
    const std::chrono::duration<double> elapsed = std::max<boot_clock::duration>(now - m_demandSince, std::chrono::milliseconds(1));
    m_demandSince = now;
    workspace_demand demands;
    for (auto &[workspace, target] : m_accounts) {
        const double weight = std::min(elapsed.count() / smoothingSeconds, 1.0);
        target.demand += (std::exchange(target.asked, 0.0) / elapsed.count() - target.demand) * weight;
        demands[workspace] = target.demand;
    }
    return demands;
}

double workspace_shares::shareOf(const workspace_id &workspace) const
{
    const auto found = m_accounts.find(workspace);
    return found == m_accounts.end() ? 0.0 : found->second.share;
}

void workspace_shares::applyShare(account &target, instant now)
{
    target.window.setBound(target.rate * target.share, burstOf(target), now);
}

double workspace_shares::burstOf(const account &target) const
{
    const std::chrono::duration<double> window = m_tolerance.window;
    const double slack = m_tolerance.fixed + m_tolerance.part * (target.rate * window.count() + target.burst);
    return target.burst * target.share + slack * burstPartOfSlack / static_cast<double>(m_instanceCount);
}

} // namespace burdockshelf
