#pragma once

#include "forwarding/rate_window.h"
#include "forwarding/traffic_plan.h"

#include <map>
#include <unordered_map>
#include <vector>

namespace burdockshelf
{

/// Cost units per second that callers of each workspace ask for at one instance.
using workspace_demand = std::map<workspace_id, double>;

/// How much more than a quota the whole fleet may take in a window.
struct quota_tolerance
{
    /// In cost units, for every workspace.
    double fixed = 0.0;
    /// As a part of what rate and burst allow in a window.
    double part = 0.0;
    std::chrono::milliseconds window {0};
};

/// This instance's share of each workspace's quota. The shares of all instances add up to the quota: a part is split evenly, so that every
/// instance can always serve something, and the rest follows the demand that the instances have published.
class workspace_shares
{
public:
    /// Part of the tolerance is split among the instances as burst.
    explicit workspace_shares(quota_tolerance tolerance);

    /// Changes limits; spent tokens stay spent.
    void setPlan(const traffic_plan &plan, instant now);
    /// What all instances have published, this one's own entry included as it was published. An instance whose own entry is not known, or
    /// that has lost touch, passes no own entry and keeps to its even part.
    void setDemands(std::int64_t instanceCount, const workspace_demand *own, const std::vector<const workspace_demand *> &all, instant now);

    /// Cost of a request under the plan of its workspace.
    static double costOf(const workspace_plan &workspace, std::optional<token_count> prompt, token_count output);
    bool take(const workspace_id &workspace, double cost, instant now);
    /// Puts back the cost of a request that was taken and did not run.
    void giveBack(const workspace_id &workspace, double cost);
    /// Time until a request of that cost would be taken.
    boot_clock::duration waitFor(const workspace_id &workspace, double cost, instant now);
    /// What was asked for here lately.
    workspace_demand demand(instant now);
    /// Share of a workspace's quota, from 0 to 1, for the log.
    double shareOf(const workspace_id &workspace) const;

private:
    struct account
    {
        double rate = 0.0;
        double burst = 0.0;
        double share = 1.0;
        rate_window window;
        double asked = 0.0;
        double demand = 0.0;
    };

    void applyShare(account &target, instant now);
    double burstOf(const account &target) const;

    quota_tolerance m_tolerance;

    std::unordered_map<workspace_id, account> m_accounts;
    std::int64_t m_instanceCount = 1;
    instant m_demandSince;
};

} // namespace burdockshelf
