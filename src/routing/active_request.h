#pragma once

#include "callers/caller_messages.h"
#include "policy/admission_queue.h"
#include "policy/request_machine.h"
#include "routing/service_level.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>

namespace burdockshelf
{

/// An accepted request in the router: the state machine that makes the decisions, and the data that they apply to. Owned by router_task.
struct active_request
{
    active_request(request_machine stateMachine, caller_request accepted, service_id serviceId)
        : machine(std::move(stateMachine))
        , call(std::move(accepted))
        , service(std::move(serviceId))
    {
    }

    request_machine machine;
    caller_request call;
    service_id service;
    int priority = 0;
    std::uint64_t prefixHash = 0;
    service_level level;
    /// True once the response or refusal has been counted in the metrics.
    bool isResultCounted = false;
    int dispatches = 0;
    /// The request's entry in the admission queue. Set while the request is queued or reserving its endpoints.
    std::optional<queued_request> queueEntry;
    /// True from the time the queue has selected the request until it has reserved its endpoints, is queued again or has ended.
    bool isReserving = false;
    kv_handle kv;
    decode_event lastEvent;
    token_usage usage;
    std::string finishReason;
    http_response plainResponse;
    /// Recorded outcome of an earlier request with the same idempotency key.
    std::optional<claim_outcome> recordedOutcome;
};

} // namespace burdockshelf
