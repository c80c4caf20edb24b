#pragma once

#include "forwarding/flow_messages.h"
#include "forwarding/quota_broker.h"
#include "gateway/duty_messages.h"
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

/// A request needs tokens of its workspace. Answered by quota_answered, always.
struct quota_ask
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
    std::vector<quota_part_holder> holders;
};

/// To the task that decides on quotas.
using quota_broker_message = std::variant<quotas_changed,
                                          instance_count_changed,
                                          quota_ask,
                                          quota_returned,
                                          holders_listed,
                                          duties_confirmed,
                                          peer_answer,
                                          peer_received,
                                          peer_status>;

/// Whether a request has its tokens.
struct quota_answered
{
    flow_id flow;
    std::variant<quota_granted, quota_refused> verdict;
};

} // namespace burdockshelf
