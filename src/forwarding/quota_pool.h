#pragma once

#include "core/deadline.h"
#include "forwarding/fractional_token_bucket.h"
#include "forwarding/quota_messages.h"
#include "forwarding/rate_lease_ledger.h"
#include "forwarding/traffic_plan.h"
#include "forwarding/workspace_shares.h"

#include <unordered_map>
#include <vector>

namespace burdockshelf
{

/// The pooled fraction of each workspace's quota, which the holder of its partition grants to all instances, request by request. An
/// instance that becomes holder starts with an empty bucket, because the previous holder may have granted everything; so a workspace never
/// gets more than its quota, however often its partition moves. Among many instances a part of the rate is leased to those that use it
/// regularly; the pool has the rest.
class quota_pool
{
public:
    /// The number of partitions must be the same on all instances.
    explicit quota_pool(std::int64_t parts, quota_tolerance tolerance = {});

    /// Updates the limits; tokens that were spent stay spent.
    void setPlan(const traffic_plan &plan, instant now);
    /// The pool has what is not split evenly among so many instances.
    void setInstanceCount(std::int64_t count, instant now);
    /// The partitions that the store has confirmed, and until when this instance may rely on that.
    void setHeldPartitions(const std::vector<quota_partition> &parts, deadline until, instant now);

    quota_partition partitionOf(const workspace_id &workspace) const;
    bool isHolderOf(const workspace_id &workspace, instant now) const;
    /// For a request of this instance, which needs no lease from itself.
    pool_response take(const workspace_id &workspace, double cost, instant now);
    /// For a request of another instance. The response has a lease when one was granted.
    pool_response take(const workspace_id &workspace, const instance_id &from, const pool_ask &ask, instant now);
    /// Returns the tokens of a request that was not executed.
    void refundCost(const workspace_id &workspace, double cost);

private:
    struct account
    {
        quota_partition quotaPartition;
        /// Limits of the workspace.
        double workspaceRate = 0.0;
        double workspaceBurst = 0.0;
        /// The pooled part of the limits.
        double rate = 0.0;
        double burst = 0.0;
        /// Token bucket with the rate and burst above; not a duration.
        fractional_token_bucket window;
        rate_lease_ledger leases;
        /// Burst of a lease on the whole leasable rate.
        double wholeLeaseBurst = 0.0;
    };

    account *findHeld(const workspace_id &workspace, instant now);
    static pool_response takeFrom(account &target, double cost, instant now);
    void applyFraction(account &target, instant now) const;
    static void applyLeases(account &target, instant now);

    std::int64_t m_parts;
    quota_tolerance m_tolerance;
    std::int64_t m_instanceCount = 1;
    std::unordered_map<workspace_id, account> m_accounts;
    std::vector<quota_partition> m_held;
    deadline m_heldUntil;
};

} // namespace burdockshelf
