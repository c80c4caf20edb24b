#pragma once

#include "core/ids.h"
#include "core/quantity.h"
#include "core/socket_address.h"

#include <chrono>
#include <optional>

namespace burdockshelf
{

/// Number of a partition of the quota pool. The platform's store assigns the partitions to instances; a workspace belongs to one partition.
using quota_partition = quantity<struct quota_part_tag>;

/// Id and address of another instance.
struct peer_instance
{
    instance_id instance;
    socket_address address;

    friend bool operator==(const peer_instance &, const peer_instance &) = default;
};

/// The instance to which the store has assigned a partition.
struct quota_partition_holder
{
    quota_partition quotaPartition;
    peer_instance holder;
};

/// Response of a holder to a request for tokens from its partition.
struct pool_response
{
    /// False when the instance does not hold the partition, or no longer.
    bool isHolder = false;
    bool isGranted = false;
    /// When a retry makes sense; zero when the tokens were granted.
    std::chrono::milliseconds retryAfter {};
};

/// Tokens that were charged for a request, and to whom.
struct quota_grant
{
    workspace_id workspace;
    /// In the unit of the workspace's quota.
    double cost = 0.0;
    /// The holder whose partition was charged; unset when this instance's own share was.
    std::optional<peer_instance> chargedHolder;
};

} // namespace burdockshelf
