#pragma once

#include "core/ids.h"
#include "core/quantity.h"
#include "core/socket_address.h"

#include <chrono>
#include <optional>

namespace burdockshelf
{

/// One of the parts into which the quotas' pool is dealt to the instances. A workspace belongs to one part.
using quota_partition = quantity<struct quota_part_tag>;

/// An instance as the others reach it.
struct peer_instance
{
    instance_id instance;
    socket_address address;

    friend bool operator==(const peer_instance &, const peer_instance &) = default;
};

/// Which instance holds a part, as the store deals them.
struct quota_partition_holder
{
    quota_partition quotaPartition;
    peer_instance holder;
};

/// What a holder says to a request for tokens of its part.
struct pool_response
{
    /// False when the part is not, or no longer, held there.
    bool isHolder = false;
    bool isGranted = false;
    /// When a further try makes sense; zero when the tokens were granted.
    std::chrono::milliseconds retryAfter {};
};

/// Tokens that were taken for a request, and from whom.
struct quota_grant
{
    workspace_id workspace;
    /// In the unit of the workspace's quota.
    double cost = 0.0;
    /// The holder that has paid; not set when this instance's own share has.
    std::optional<peer_instance> chargedHolder;
};

} // namespace burdockshelf
