#pragma once

#include "core/deadline.h"
#include "forwarding/quota_messages.h"
#include "forwarding/rate_window.h"
#include "forwarding/traffic_plan.h"

#include <unordered_map>
#include <vector>

namespace burdockshelf
{

/// The part of each workspace's quota that its holder hands out to the whole fleet, request by request. An instance that comes to hold a
/// part begins with nothing, because the holder before it may have handed out everything; so a workspace never gets more than it bought,
/// however often its part moves.
class quota_pool
{
public:
    /// The number of parts is the same at all instances.
    explicit quota_pool(std::int64_t parts);

    /// Changes limits; spent tokens stay spent.
    void setPlan(const traffic_plan &plan, instant now);
    /// The parts that the store has confirmed, and until when this instance may rely on that.
    void setHeldPartitions(const std::vector<quota_partition> &parts, deadline until, instant now);

    quota_partition partitionOf(const workspace_id &workspace) const;
    bool isHolderOf(const workspace_id &workspace, instant now) const;
    pool_response take(const workspace_id &workspace, double cost, instant now);
    /// Puts back tokens of a request that did not run.
    void refundCost(const workspace_id &workspace, double cost);

private:
    struct account
    {
        quota_partition quotaPartition;
        double rate = 0.0;
        double burst = 0.0;
        rate_window window;
    };

    std::int64_t m_parts;
    std::unordered_map<workspace_id, account> m_accounts;
    std::vector<quota_partition> m_held;
    deadline m_heldUntil;
};

} // namespace burdockshelf
