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
    /// Until when this instance may decide.
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

/// All endpoints, in place of those told before.
struct endpoints_status
{
    std::vector<endpoint_status> endpoints;
};

struct queue_status
{
    urgency_class_id urgency;
    std::int64_t length = 0;
};

/// All queues, in place of those told before.
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

/// The workspaces that this instance holds tokens of, in place of those told before.
struct quotas_status
{
    std::vector<quota_status> workspaces;
};

/// Whether something outside this instance answers, for example "log" or "instance list".
struct reachability_status
{
    std::string part;
    bool isReachable = true;
    /// Why not.
    error cause;
};

/// What a task tells operators of its part. The instance list takes peers out that have left.
using status_part = std::variant<identity_status,
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
    /// Why the instance is not ready, for people.
    std::string reason;
};

/// The address that operators reach, with the port that the kernel chose.
struct operations_listening
{
    socket_address address;
};

using operations_message = std::variant<status_part, metric_batch, readiness_changed>;

} // namespace burdockshelf
