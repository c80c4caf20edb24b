#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "core/units.h"
#include "policy/peer_message.h"
#include "state/configuration.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace burdockshelf
{

/// Charge the request to the quota of its workspace.
struct charge_action
{
    token_count amount;
};

/// Settle the charge with the actual cost.
struct settle_action
{
    token_count actual;
};

/// Request a claim of the idempotency key.
struct claim_action
{
};

enum class claim_ending
{
    /// The response of the call is recorded.
    answered,
    /// The call was never dispatched; the key may be claimed again.
    released,
    /// The call may have run; its response is lost.
    unknown,
};

/// Record in the log how a claimed call ended.
struct end_claim_action
{
    claim_ending ending = claim_ending::answered;
};

/// Enter the admission queue.
struct enqueue_action
{
};

/// Leave the admission queue.
struct dequeue_action
{
};

/// Tell the admission queue that the request has got its endpoints.
struct note_dispatch_action
{
};

/// List the candidate endpoints of a role, the best first.
struct list_candidates_action
{
    endpoint_role role = endpoint_role::plain;
};

struct request_slot_action
{
    endpoint_id endpoint;
};

struct release_slot_action
{
    endpoint_id endpoint;
    attempt_verdict verdict = attempt_verdict::cancelled;
};

struct prefill_action
{
    endpoint_id endpoint;
    attempt_id attempt;
};

struct decode_action
{
    endpoint_id endpoint;
    attempt_id attempt;
};

struct resume_action
{
    endpoint_id endpoint;
    attempt_id attempt;
    std::int64_t from = 0;
};

struct plain_call_action
{
    endpoint_id endpoint;
    attempt_id attempt;
};

struct cancel_attempt_action
{
    endpoint_id endpoint;
    attempt_id attempt;
};

/// Abort the request at an engine whose attempt ended without a response.
struct abort_at_engine_action
{
    endpoint_id endpoint;
};

/// Free the KV cache of the last prefill, which no decode will import.
struct release_kv_action
{
    endpoint_id prefill;
};

/// Record that an endpoint failed, so that placement avoids it for a while.
struct note_failure_action
{
    endpoint_id endpoint;
};

struct start_response_action
{
    endpoint_id prefill;
    endpoint_id decode;
};

/// Relay the event that was just received to the caller.
struct relay_event_action
{
};

struct finish_response_action
{
};

/// Relay the response of the plain service to the caller.
struct relay_plain_response_action
{
    endpoint_id endpoint;
};

/// Respond with the recorded outcome of an earlier request with the same key.
struct replay_response_action
{
};

struct refuse_action
{
    int status = 503;
    error cause;
    bool isNotExecuted = true;
    bool isEarlierOutcomeUnknown = false;
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// The request has ended; the machine may be destroyed.
struct finished_action
{
};

using request_action = std::variant<charge_action,
                                    settle_action,
                                    claim_action,
                                    end_claim_action,
                                    enqueue_action,
                                    dequeue_action,
                                    note_dispatch_action,
                                    list_candidates_action,
                                    request_slot_action,
                                    release_slot_action,
                                    prefill_action,
                                    decode_action,
                                    resume_action,
                                    plain_call_action,
                                    cancel_attempt_action,
                                    abort_at_engine_action,
                                    release_kv_action,
                                    note_failure_action,
                                    start_response_action,
                                    relay_event_action,
                                    finish_response_action,
                                    relay_plain_response_action,
                                    replay_response_action,
                                    refuse_action,
                                    finished_action>;

using request_actions = std::vector<request_action>;

} // namespace burdockshelf
