#pragma once

#include "forwarding/fractional_token_bucket.h"
#include "forwarding/traffic_plan.h"

#include <unordered_map>

namespace burdockshelf
{

/// How far the use of a quota by all instances may exceed it within a window.
struct quota_tolerance
{
    /// In cost units, for every workspace.
    double fixed = 0.0;
    /// As a fraction of what rate and burst allow within a window.
    double part = 0.0;
    std::chrono::milliseconds window {0};

    /// The tolerance for a workspace, in cost units.
    double amountFor(double ratePerSecond, double burst) const;
};

/// This instance's own share of each workspace's quota. A fraction of each quota is split evenly among the instances, and an instance
/// may use its share even when it can reach no other instance.
class workspace_shares
{
public:
    /// Fraction of every quota that is split evenly among so many instances. The rest is in the pool. Among many instances a share is
    /// smaller than one prompt, and what is split can hardly be used.
    static double evenSplitFraction(std::int64_t instances);
    /// True for so few instances that their shares are large enough for prompts.
    static bool areSharesLarge(std::int64_t instances);

    /// A fraction of the tolerance is split among the instances as additional burst.
    workspace_shares(instance_id self, quota_tolerance tolerance);

    /// Updates the limits; tokens that were spent stay spent.
    void setPlan(const traffic_plan &plan, instant now);
    void setInstanceCount(std::int64_t count, instant now);

    /// Cost of a request under the plan of its workspace.
    static double costOf(const workspace_plan &workspace, std::optional<token_count> prompt, token_count output);
    /// Takes the cost only when the share covers all of it.
    bool takeInFull(const workspace_id &workspace, double cost, instant now);
    /// True among few instances, whose shares are large enough for prompts.
    bool hasLargeShares() const;
    /// Takes the cost. A cost that is larger than the whole share needs a full share and leaves a debt. Among many instances only as many
    /// may have a debt as the tolerance covers; which ones differs between workspaces. The cost is the part of the whole request's cost
    /// that the share has to pay.
    bool take(const workspace_id &workspace, double cost, double wholeCost, instant now);
    bool take(const workspace_id &workspace, double cost, instant now);
    /// Returns the cost of a request that was not executed.
    void refundCost(const workspace_id &workspace, double cost);
    /// Time until take() would succeed for that cost.
    boot_clock::duration waitFor(const workspace_id &workspace, double cost, instant now);
    /// This instance's share of a workspace's quota, from 0 to 1, for the log.
    double shareOf(const workspace_id &workspace) const;

private:
    struct account
    {
        double rate = 0.0;
        double burst = 0.0;
        /// Token bucket with this instance's share of the rate and burst above and of the tolerance; not a duration, unlike
        /// quota_tolerance::window.
        fractional_token_bucket window;
    };

    /// The account of a workspace with a limit, nullptr when it has none.
    account *find(const workspace_id &workspace);
    void applyShare(account &target, instant now) const;
    double share() const;
    double burstOf(const account &target) const;
    /// Whether this instance is among those that may be in debt for requests of that cost.
    bool mayOverdraw(const workspace_id &workspace, const account &target, double cost) const;

    instance_id m_self;
    quota_tolerance m_tolerance;
    std::unordered_map<workspace_id, account> m_accounts;
    std::int64_t m_instanceCount = 1;
};

} // namespace burdockshelf
