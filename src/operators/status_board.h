#pragma once

#include "operators/operations_messages.h"

#include <map>
#include <string>
#include <vector>

namespace burdockshelf
{

/// The latest status that each task has posted. A plain value type.
struct status_board
{
    identity_status identity;
    configuration_status configuration;
    roster_status roster;
    std::vector<endpoint_status> endpoints;
    std::vector<queue_status> queues;
    std::vector<quota_status> quotas;
    std::map<instance_id, peer_status> peers;
    std::map<std::string, reachability_status> unreachable;

    void apply(status_update part);
};

} // namespace burdockshelf
