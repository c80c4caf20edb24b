#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <vector>

namespace burdockshelf
{

/// The configuration version and the offset that replay of the log has reached.
struct configuration_report
{
    configuration_version version;
    log_offset covered {-1};

    friend bool operator==(const configuration_report &, const configuration_report &) = default;
};

struct queue_length
{
    urgency_class_id urgency;
    std::int64_t length = 0;

    friend bool operator==(const queue_length &, const queue_length &) = default;
};

/// Number of requests that wait for endpoints, for each configured urgency class.
struct queues_report
{
    std::vector<queue_length> queues;

    friend bool operator==(const queues_report &, const queues_report &) = default;
};

enum class owned_endpoint_state
{
    healthy,
    /// In slow start.
    warming,
    /// Did not answer the last load query.
    unreachable,
    drained,
};

struct owned_endpoint
{
    endpoint_id endpoint;
    owned_endpoint_state state = owned_endpoint_state::healthy;
    slot_count used;
    slot_count limit;

    friend bool operator==(const owned_endpoint &, const owned_endpoint &) = default;
};

/// State and load of the endpoints that this member owns.
struct owned_endpoints_report
{
    std::vector<owned_endpoint> endpoints;

    friend bool operator==(const owned_endpoints_report &, const owned_endpoints_report &) = default;
};

} // namespace burdockshelf
