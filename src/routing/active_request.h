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
    /// Latencies of this request in comparison with the targets of its urgency class.
    service_level level;
    /// True once the response or refusal has been counted in the metrics.
    bool isResultCounted = false;
    /// Number of dispatches so far; those after the first are retries.
    int dispatches = 0;
    /// The entry with which the admission queue has selected the request. Set from the first selection until the request is dispatched,
    /// ends or expires in the queue; it stays set while the request is queued again because it found no endpoint. Unset before the first
    /// selection, although the request is queued then.
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
