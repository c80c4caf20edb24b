#pragma once

#include "forwarding/quota_pool.h"
#include "forwarding/workspace_shares.h"

#include <map>
#include <optional>
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
};

struct quota_refused
{
    std::chrono::milliseconds retryAfter {};
    /// This instance's share of the quota, from 0 to 1, for the log.
    double share = 0.0;
    /// The holder that refused; unset when no holder could be asked.
    std::optional<instance_id> holder;
};

using quota_decision = std::variant<quota_granted, quota_pending, quota_refused>;

/// Decides for one instance whether a request is within its workspace's quota: from the instance's own share, or by asking the holder of
/// the workspace's partition of the pool. While no holder can be asked, only the own share is available. Does no I/O.
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
    /// Decides with the holder's response; it is empty when the holder did not respond in time.
    quota_decision applyHolderResponse(
        const workspace_id &workspace, double cost, const peer_instance &holder, const std::optional<pool_response> &verdict, instant now);
    /// Answers another instance that asks for tokens of a partition held here.
    pool_response grantFromPool(const workspace_id &workspace, double cost, instant now);
    void acceptRefund(const workspace_id &workspace, double cost);
    /// Gives back the tokens of a request that was not executed. Returns the holder to notify when another instance was charged.
    std::optional<peer_instance> refundCost(const quota_grant &grant);

    /// True when the list of holders is missing or contradicts what was observed.
    bool needsHolderRefresh() const;

private:
    quota_decision takeFromShare(const workspace_id &workspace, double cost, instant now);

    instance_id m_self;
    workspace_shares m_shares;
    quota_pool m_pool;
    std::map<quota_partition, peer_instance> m_holders;
    /// Holders that did not respond are not asked again before this.
    std::map<instance_id, deadline> m_unresponsiveUntil;
    bool m_needsHolders = true;
};

} // namespace burdockshelf
