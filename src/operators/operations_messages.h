#pragma once

#include "core/deadline.h"
#include "core/ids.h"
#include "core/socket_address.h"
#include "core/units.h"
#include "log_service/log_service_messages.h"
#include "mesh/mesh_messages.h"
#include "metrics/metric_batch.h"
#include "state/log_record.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace burdockshelf
{

struct identity_status
{
    instance_id instance;
    incarnation_id incarnation;
    data_centre_id dataCentre;
};

struct configuration_status
{
    configuration_version version;
    log_offset covered {-1};
};

struct roster_status
{
    roster_epoch epoch;
    std::vector<roster_member> members;
    /// Deadline until which this instance has the authority to make decisions.
    deadline authority;
};

enum class endpoint_condition
{
    healthy,
    /// In slow start.
    warming,
    unhealthy,
    drained,
};

struct endpoint_status
{
    endpoint_id endpoint;
    endpoint_condition condition = endpoint_condition::healthy;
    slot_count used;
    slot_count limit;
};

/// The state of all endpoints; replaces the previous list.
struct endpoints_status
{
    std::vector<endpoint_status> endpoints;
};

struct queue_status
{
    urgency_class_id urgency;
    std::int64_t length = 0;
};

/// The state of all queues; replaces the previous list.
struct queues_status
{
    std::vector<queue_status> queues;
};

struct quota_status
{
    workspace_id workspace;
    token_count level;
    token_count cap;
    token_rate rate;
};

/// The workspaces for which this instance holds tokens; replaces the previous list.
struct quotas_status
{
    std::vector<quota_status> workspaces;
};

/// Whether a service outside this instance answers, for example "log" or "instance list".
struct reachability_status
{
    std::string part;
    bool isReachable = true;
    /// The error of the last failed call; unused while the service is reachable.
    error cause;
};

/// A status update from one task for the operators' status page. An instance list removes the peers that it no longer contains.
using status_update = std::variant<identity_status,
                                   configuration_status,
                                   roster_status,
                                   endpoints_status,
                                   queues_status,
                                   quotas_status,
                                   peer_status,
                                   instance_list,
                                   reachability_status>;

struct readiness_changed
{
    bool isReady = false;
    /// Human-readable reason why the instance is not ready.
    std::string reason;
};

/// The address on which the operations server listens, with the port that the kernel chose.
struct operations_listening
{
    socket_address address;
};

using operations_message = std::variant<status_update, metric_batch, readiness_changed>;

} // namespace burdockshelf
