#pragma once

#include "core/deadline.h"
#include "policy/claim_ledger.h"
#include "policy/request_action.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdockshelf
{

/// The properties of a request that are known when it is accepted.
struct request_facts
{
    request_id id;
    service_kind kind = service_kind::model;
    /// Empty on a route that needs no API key.
    workspace_id workspace;
    bool isRetryable = true;
    bool hasIdempotencyKey = false;
    token_count charge;
    token_count promptCharge;
    token_count maxTokens;
    /// Deadline for the dispatch.
    deadline dispatchUntil;

    bool needsClaim() const
    {
        return !isRetryable && hasIdempotencyKey;
    }
};

/// Circumstances that are passed with every event.
struct event_context
{
    instant now;
    /// True while the API key of the request is in force, and always on routes that need none.
    bool isAuthorised = true;
};

/// Why an attempt at an endpoint ended without a response.
struct attempt_failure
{
    error cause;
    bool isNotSent = false;
};

/// State machine of one request: takes typed events and returns actions, and uses no clock and no socket. It ensures that the request is
/// answered once, that every slot, charge and claim that was taken is given back once, and that a call that must not be repeated is
/// dispatched once. Late events of earlier attempts are recognised by their attempt id and ignored.
class request_machine
{
public:
    explicit request_machine(request_facts facts);

    request_actions start(const event_context &context);
    request_actions charged(bool isGranted, std::optional<std::chrono::milliseconds> retryAfter, const event_context &context);
    request_actions claimed(claim_result result, const event_context &context);
    /// The admission queue has selected this request.
    request_actions dequeued(const event_context &context);
    /// The candidate endpoints for the requested role, best first; empty if the pool has none.
    request_actions candidatesListed(endpoint_role role, std::vector<endpoint_id> candidates, const event_context &context);
    request_actions slotDecided(const endpoint_id &endpoint, bool isGranted, const event_context &context);
    request_actions prefillDone(const attempt_id &attempt, const event_context &context);
    request_actions decodeEvent(const attempt_id &attempt, std::int64_t position, std::string_view text, const event_context &context);
    request_actions decodeDone(const attempt_id &attempt, token_count prompt, token_count completion, const event_context &context);
    request_actions plainDone(const attempt_id &attempt, int status, const event_context &context);
    request_actions attemptFailed(const attempt_id &attempt, const attempt_failure &failure, const event_context &context);
    request_actions callerDisconnected(const event_context &context);
    /// Called when the deadline of dispatchUntil() has passed while the request waits in the queue.
    request_actions queueExpired(const event_context &context);
    /// The queue estimates that the deadline cannot be met.
    request_actions shed(const event_context &context);

    const request_facts &facts() const;
    /// Text generated so far, for a continuation at another engine.
    const std::string &generated() const;
    /// Output tokens that the next run may still generate.
    token_count remainingTokens() const;
    bool isFinished() const;
    /// True while the request waits in the admission queue.
    bool isQueued() const;
    /// Deadline for the next dispatch. Each retry of a retryable request gets a new one.
    deadline dispatchUntil() const;

private:
    enum class phase
    {
        created,
        charging,
        claiming,
        queued,
        reserving,
        prefilling,
        decoding,
        calling,
        finished,
    };

    struct reservation
    {
        endpoint_role role = endpoint_role::plain;
        std::vector<endpoint_id> candidates;
        std::size_t next = 0;
        /// The endpoint for which a slot was requested and no decision has arrived yet.
        std::optional<endpoint_id> requested;
        std::optional<endpoint_id> held;
    };

    void claimOrEnqueue(request_actions &actions);
    attempt_id nextAttempt();
    bool isCurrent(const attempt_id &attempt) const;
    void beginReservation(request_actions &actions);
    void requestNextSlot(reservation &wanted, request_actions &actions);
    void requeueWithoutSlots(request_actions &actions);
    void dispatch(const event_context &context, request_actions &actions);
    void startDecode(request_actions &actions);
    void retryOrFail(const attempt_failure &failure, const event_context &context, request_actions &actions);
    void releaseAfterFailure(request_actions &actions);
    void failPermanently(const attempt_failure &failure, request_actions &actions);
    void releaseKv(request_actions &actions);
    endpoint_role runningRole() const;
    void releaseSlots(attempt_verdict verdict, request_actions &actions);
    void releaseSlot(reservation &held, attempt_verdict verdict, request_actions &actions);
    void endClaim(claim_ending ending, request_actions &actions);
    void settle(token_count actual, request_actions &actions);
    void refuse(int status, error cause, bool isNotExecuted, std::optional<std::chrono::milliseconds> retryAfter, request_actions &actions);
    request_actions refuseQueued(error cause);
    void finish(request_actions &actions);
    token_count costSoFar() const;
    reservation *findReservation(endpoint_role role);
    std::optional<endpoint_id> heldEndpoint(endpoint_role role) const;

    request_facts m_facts;
    phase m_phase = phase::created;
    std::vector<reservation> m_reservations;
    attempt_id m_attempt;
    int m_attemptCount = 0;
    int m_retryCount = 0;
    int m_resumeCount = 0;
    bool m_isCharged = false;
    bool m_isClaimed = false;
    // True once a byte of the call could have reached an endpoint.
    bool m_isDispatched = false;
    bool m_isAnswerStarted = false;
    // True while the result of a prefill is kept at its engine.
    bool m_isPrefillResultHeld = false;
    endpoint_id m_prefillEndpoint;
    deadline m_dispatchUntil;
    std::string m_generated;
    std::int64_t m_nextPosition = 0;
    token_count m_earlierCompletion;
    token_count m_completion;
    // Endpoints whose slot was requested before the request ended or moved on. A late grant is released at once.
    std::vector<endpoint_id> m_abandonedSlotRequests;
};

} // namespace burdockshelf
