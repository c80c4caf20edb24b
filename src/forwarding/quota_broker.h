#pragma once

#include "forwarding/quota_pool.h"
#include "forwarding/workspace_shares.h"

#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace burdockshelf
{

/// The request has its tokens.
struct quota_granted
{
    quota_grant grant;
};

/// The holder of the workspace's part decides; its verdict, or that there is none, is to be passed to conclude().
struct quota_pending
{
    peer_instance holder;
};

struct quota_refused
{
    std::chrono::milliseconds retryAfter {};
    /// This instance's own part of the quota, from 0 to 1, for the log.
    double share = 0.0;
    /// The holder that has refused; not set when none could be asked.
    std::optional<instance_id> holder;
};

using quota_decision = std::variant<quota_granted, quota_pending, quota_refused>;

/// Decides for one instance whether a request is within its workspace's quota: from the instance's own even share, or by asking the holder
/// of the workspace's part of the pool. While no holder can be asked, the share is all there is. A pure value.
class quota_broker
{
public:
    quota_broker(instance_id self, quota_tolerance tolerance, std::int64_t parts);

    void setPlan(const traffic_plan &plan, instant now);
    void setInstanceCount(std::int64_t count, instant now);
    /// The parts that this instance holds, and until when it may rely on that.
    void setHeldPartitions(const std::vector<quota_partition> &parts, deadline until, instant now);
    void setHolders(const std::vector<quota_partition_holder> &holders);

    quota_partition partitionOf(const workspace_id &workspace) const;
    quota_decision ask(const workspace_id &workspace, double cost, instant now);
    /// Without a verdict the holder did not answer in time.
    quota_decision applyHolderResponse(
        const workspace_id &workspace, double cost, const peer_instance &holder, const std::optional<pool_response> &verdict, instant now);
    /// Another instance asks this one.
    pool_response grantFromPool(const workspace_id &workspace, double cost, instant now);
    void acceptRefund(const workspace_id &workspace, double cost);
    /// Gives back what a request did not use. Returns the holder that has to be told, if another instance has paid.
    std::optional<peer_instance> refundCost(const quota_grant &grant);

    /// The list of holders does not fit what was seen of them.
    bool needsHolderRefresh() const;

private:
    quota_decision useShare(const workspace_id &workspace, double cost, std::chrono::milliseconds retryAfter, instant now);

    instance_id m_self;
    workspace_shares m_shares;
    quota_pool m_pool;
    std::map<quota_partition, peer_instance> m_holders;
    /// Holders that did not answer are not asked before this.
    std::map<instance_id, deadline> m_silentUntil;
    bool m_needsHolders = true;
};

} // namespace burdockshelf
