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

/// Charge the workspace.
struct charge_action
{
    token_count amount;
};

/// End the charge with the true cost.
struct settle_action
{
    token_count actual;
};

/// Claim the idempotency key.
struct claim_action
{
};

enum class claim_ending
{
    /// The answer of the call is recorded.
    answered,
    /// The call was never dispatched; the key may be claimed anew.
    released,
    /// The call may have run; its answer is lost.
    unknown,
};

/// Say in the log how a claimed call has ended.
struct end_claim_action
{
    claim_ending ending = claim_ending::answered;
};

/// Wait in the admission queue.
struct enqueue_action
{
};

/// Leave the admission queue.
struct dequeue_action
{
};

/// Tell the admission queue that the request got its endpoints.
struct note_dispatch_action
{
};

/// Offer the endpoints of a role, the best first.
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

/// Abort the request at an engine whose attempt has ended without an answer.
struct abort_at_engine_action
{
    endpoint_id endpoint;
};

/// Free the KV cache of the last prefill, which no decode will import.
struct release_kv_action
{
    endpoint_id prefill;
};

/// Note that an endpoint failed, so that placement avoids it for a while.
struct note_failure_action
{
    endpoint_id endpoint;
};

struct start_response_action
{
    endpoint_id prefill;
    endpoint_id decode;
};

/// Pass the event on that was just received.
struct relay_event_action
{
};

struct finish_response_action
{
};

/// Pass the response of the plain service on.
struct relay_plain_response_action
{
    endpoint_id endpoint;
};

/// Answer with the recorded outcome of an earlier request.
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
