#pragma once

#include "forwarding/rate_window.h"
#include "forwarding/traffic_plan.h"

#include <unordered_map>

namespace burdockshelf
{

/// How much more than a quota the whole fleet may take in a window.
struct quota_tolerance
{
    /// In cost units, for every workspace.
    double fixed = 0.0;
    /// As a part of what rate and burst allow in a window.
    double part = 0.0;
    std::chrono::milliseconds window {0};
};

/// This instance's own share of each workspace's quota: an even part, which it may always serve, also when it reaches nobody.
class workspace_shares
{
public:
    /// Part of every quota that is split evenly. The rest is in the pool.
    static constexpr double evenPart = 0.4;

    /// Part of the tolerance is split among the instances as burst.
    explicit workspace_shares(quota_tolerance tolerance);

    /// Changes limits; spent tokens stay spent.
    void setPlan(const traffic_plan &plan, instant now);
    void setInstanceCount(std::int64_t count, instant now);

    /// Cost of a request under the plan of its workspace.
    static double costOf(const workspace_plan &workspace, std::optional<token_count> prompt, token_count output);
    /// Takes the cost only when the share covers all of it.
    bool takeWhole(const workspace_id &workspace, double cost, instant now);
    /// Takes the cost; one that is larger than the whole share needs a full share and leaves a debt.
    bool take(const workspace_id &workspace, double cost, instant now);
    /// Puts back the cost of a request that was taken and did not run.
    void refundCost(const workspace_id &workspace, double cost);
    /// Time until a request of that cost would be taken.
    boot_clock::duration waitFor(const workspace_id &workspace, double cost, instant now);
    /// Share of a workspace's quota, from 0 to 1, for the log.
    double shareOf(const workspace_id &workspace) const;

private:
    struct account
    {
        double rate = 0.0;
        double burst = 0.0;
        rate_window window;
    };

    /// The account of a workspace with a limit, or nullptr.
    account *find(const workspace_id &workspace);
    void applyShare(account &target, instant now) const;
    double share() const;
    double burstOf(const account &target) const;

    quota_tolerance m_tolerance;
    std::unordered_map<workspace_id, account> m_accounts;
    std::int64_t m_instanceCount = 1;
};

} // namespace burdockshelf
