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

/// A part of a pool's rate that the holder of its partition leaves to one instance for a while.
struct rate_lease_grant
{
    /// In the unit of the workspace's quota, per second.
    double rate = 0.0;
    /// How much the instance may save up.
    double burst = 0.0;
    /// Counted by the instance from the sending of its request.
    std::chrono::milliseconds validFor {};
    /// Limits of the workspace in the holder's plan. An instance whose plan has lower ones uses a smaller lease.
    double workspaceRate = 0.0;
    double workspaceBurst = 0.0;
};

/// What an instance tells the holder about its lease with a request for tokens. The tokens and the rate are no longer used by the instance
/// once the report is made, so that a lost report wastes tokens and never creates them.
struct lease_report
{
    /// Unused tokens of the lease from this holder, which go back to its pool.
    double returned = 0.0;
    /// Tokens of leases that were used since the previous report.
    double spent = 0.0;
    /// Rate of a lease from the previous holder that was given up.
    double givenUpRate = 0.0;
};

/// Request for tokens from a holder's partition.
struct pool_ask
{
    double cost = 0.0;
    lease_report lease;
};

/// Response of a holder to a request for tokens from its partition.
struct pool_response
{
    /// False when the instance does not hold the partition, or no longer.
    bool isHolder = false;
    bool isGranted = false;
    /// When a retry makes sense; zero when the tokens were granted.
    std::chrono::milliseconds retryAfter {};
    std::optional<rate_lease_grant> lease = std::nullopt;
    /// True while the holder keeps a part of the rate back for leases that the previous holder may have granted.
    bool isFirstPeriod = false;
};

/// Tokens that were charged for a request, and to whom.
struct quota_grant
{
    workspace_id workspace;
    /// In the unit of the workspace's quota.
    double cost = 0.0;
    /// The holder whose partition was charged; unset when this instance's own share was.
    std::optional<peer_instance> chargedHolder;
    /// The part of the cost that this instance's lease was charged; the rest was charged to its share. Zero when a holder was charged.
    double leased = 0.0;
};

} // namespace burdockshelf
