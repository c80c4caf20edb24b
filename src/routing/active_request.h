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

/// A request that the router works on: the machine that decides and the contents that the decisions are about. Owned by router_task.
struct active_request
{
    active_request(request_machine decides, caller_request accepted, service_id wanted)
        : machine(std::move(decides))
        , call(std::move(accepted))
        , service(std::move(wanted))
    {
    }

    request_machine machine;
    caller_request call;
    service_id service;
    int priority = 0;
    std::uint64_t prefixHash = 0;
    service_level level;
    /// True once the answer or refusal is counted.
    bool isMeasured = false;
    int dispatches = 0;
    /// Set while the request waits for or looks for its endpoints.
    std::optional<queued_request> queueEntry;
    /// True from the moment the queue has chosen the request until it has its endpoints or is put back.
    bool isReserving = false;
    kv_handle kv;
    decode_event lastEvent;
    token_usage usage;
    std::string finishReason;
    http_response plainResponse;
    /// Outcome of an earlier request with the same idempotency key.
    std::optional<claim_outcome> recorded;
};

} // namespace burdockshelf
