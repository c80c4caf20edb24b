#pragma once

#include "forwarding/flow_messages.h"
#include "forwarding/quota_broker.h"
#include "gateway/assignment_messages.h"
#include "mesh/mesh_messages.h"

#include <memory>
#include <variant>

namespace burdockshelf
{

/// A new plan is in force; its quotas may differ.
struct quotas_changed
{
    std::shared_ptr<const plan_index> plan;
};

struct instance_count_changed
{
    std::int64_t count = 1;
};

/// A request needs tokens of its workspace's quota. Always answered with a quota_response.
struct quota_request
{
    flow_id flow;
    workspace_id workspace;
    double cost = 0.0;
};

/// Returns a grant that its request has not used.
struct quota_returned
{
    quota_grant grant;
};

/// The current holders of the quota partitions.
struct holders_listed
{
    std::vector<quota_partition_holder> holders;
};

/// Messages for quota_broker_task.
using quota_broker_message = std::variant<quotas_changed,
                                          instance_count_changed,
                                          quota_request,
                                          quota_returned,
                                          holders_listed,
                                          assignment_confirmed,
                                          peer_response,
                                          peer_message_received,
                                          peer_status>;

/// Whether a request was granted its tokens.
struct quota_response
{
    flow_id flow;
    std::variant<quota_granted, quota_refused> verdict;
};

} // namespace burdockshelf
