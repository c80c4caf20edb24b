#pragma once

#include "forwarding/flow_messages.h"
#include "forwarding/quota_broker.h"
#include "gateway/assignment_messages.h"
#include "mesh/mesh_messages.h"

#include <memory>
#include <variant>

namespace burdockshelf
{

/// The plan in force, for its quotas.
struct quotas_changed
{
    std::shared_ptr<const plan_index> plan;
};

struct instance_count_changed
{
    std::int64_t count = 1;
};

/// A request needs tokens of its workspace. Answered by quota_response, always.
struct quota_request
{
    flow_id flow;
    workspace_id workspace;
    double cost = 0.0;
};

/// A request has not used what it was granted.
struct quota_returned
{
    quota_grant grant;
};

/// Who holds the parts of the pool.
struct holders_listed
{
    std::vector<quota_partition_holder> holders;
};

/// To the task that decides on quotas.
using quota_broker_message = std::variant<quotas_changed,
                                          instance_count_changed,
                                          quota_request,
                                          quota_returned,
                                          holders_listed,
                                          assignment_confirmed,
                                          peer_response,
                                          peer_message_received,
                                          peer_status>;

/// Whether a request has its tokens.
struct quota_response
{
    flow_id flow;
    std::variant<quota_granted, quota_refused> verdict;
};

} // namespace burdockshelf
