#pragma once

#include "forwarding/quota_pool.h"
#include "forwarding/rate_lease.h"
#include "forwarding/workspace_shares.h"

#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

namespace burdockshelf
{

/// The cost of the request is covered.
struct quota_granted
{
    quota_grant grant;
};

/// The holder of the workspace's partition decides. Its response, or nothing when it did not respond, is to be passed to
/// applyHolderResponse().
struct quota_pending
{
    peer_instance holder;
    /// What to send to the holder; a lease that it grants is to be passed to acceptLease().
    pool_ask ask;
};

enum class quota_refusal_cause
{
    /// The holder responded that its pool is empty, or the instance has a large share, which is used up.
    used_up,
    /// The same in the first period of a new holder, which keeps a part of the rate back.
    new_holder,
    holder_silent,
    holder_unknown,
};

std::string_view quotaRefusalCauseName(quota_refusal_cause cause);

struct quota_refused
{
    std::chrono::milliseconds retryAfter {};
    /// This instance's share of the quota, from 0 to 1, for the log.
    double share = 0.0;
    /// The holder that refused; unset when no holder could be asked.
    std::optional<instance_id> holder;
    quota_refusal_cause cause = quota_refusal_cause::used_up;
    /// Rate of this instance's lease, for the log.
    double leasedRate = 0.0;
};

using quota_decision = std::variant<quota_granted, quota_pending, quota_refused>;

/// Decides for one instance whether a request is within its workspace's quota: from the instance's own share, or by asking the holder of
/// the workspace's partition of the pool. The holder leases a part of the pool's rate to the instance, which is spent before the holder is
/// asked. While no holder can be asked, the own share and the lease are available. Does no I/O.
class quota_broker
{
public:
    quota_broker(instance_id self, quota_tolerance tolerance, std::int64_t parts);

    void setPlan(const traffic_plan &plan, instant now);
    void setInstanceCount(std::int64_t count, instant now);
    /// The partitions that this instance holds, and until when it may rely on that.
    void setHeldPartitions(const std::vector<quota_partition> &parts, deadline until, instant now);
    void setHolders(const std::vector<quota_partition_holder> &holders);

    quota_partition partitionOf(const workspace_id &workspace) const;
    quota_decision ask(const workspace_id &workspace, double cost, instant now);
    /// Takes over a lease from the response to a request that was sent at that time.
    void
    acceptLease(const workspace_id &workspace, const peer_instance &holder, const pool_response &response, instant sentAt, instant now);
    /// Decides with the holder's response; it is empty when the holder did not respond in time.
    quota_decision applyHolderResponse(
        const workspace_id &workspace, double cost, const peer_instance &holder, const std::optional<pool_response> &verdict, instant now);
    /// Answers another instance that asks for tokens of a partition held here.
    pool_response grantFromPool(const workspace_id &workspace, double cost, instant now);
    /// The same with a lease for the instance.
    pool_response grantFromPool(const workspace_id &workspace, const instance_id &from, const pool_ask &ask, instant now);
    void acceptRefund(const workspace_id &workspace, double cost);
    /// Gives back the tokens of a request that was not executed. Returns the holder to notify when another instance was charged.
    std::optional<peer_instance> refundCost(const quota_grant &grant);
    /// Rate of the lease that this instance has for the workspace.
    double leasedRate(const workspace_id &workspace, instant now) const;

    /// True when the list of holders is missing or contradicts what was observed.
    bool needsHolderRefresh() const;

private:
    /// The lease of a workspace, and the holder that responded last for it.
    struct lease_state
    {
        double workspaceRate = 0.0;
        double workspaceBurst = 0.0;
        rate_lease lease;
        std::optional<instance_id> respondingHolder;
    };

    void applyLeaseLimits(instant now);
    /// Pays from the lease or the share when they cover the cost, together if necessary.
    std::optional<quota_granted> takeLocally(const workspace_id &workspace, double cost, instant now);
    /// Pays from the lease, and the rest from the share, which may be left in debt.
    quota_decision takeWithoutPool(const workspace_id &workspace, double cost, quota_refusal_cause cause, instant now);
    double leasedLevel(const workspace_id &workspace, instant now);
    quota_granted chargeLease(const workspace_id &workspace, double cost, double leased, instant now);
    lease_report reportTo(const instance_id &holder, const workspace_id &workspace, double cost, instant now);
    bool isUnresponsive(const instance_id &holder, instant now) const;

    instance_id m_self;
    workspace_shares m_shares;
    quota_pool m_pool;
    /// Of all workspaces in the plan. Not used among few instances, which have large shares.
    std::unordered_map<workspace_id, lease_state> m_leases;
    std::map<quota_partition, peer_instance> m_holders;
    /// Holders that did not respond are not asked again before this.
    std::map<instance_id, deadline> m_unresponsiveUntil;
    bool m_needsHolders = true;
};

} // namespace burdockshelf
