#include "policy/request_machine.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using namespace std::chrono_literals;

constexpr int maxRetries = 3;
constexpr int maxResumesPerRun = 2;
// Suggested delay before a retry, for all refusals whose cause is expected to pass soon: not only overload, but also a running request with
// the same idempotency key and a key that cannot be claimed at the moment.
constexpr auto overloadRetryAfter = 1000ms;
constexpr auto maxRetryQueueTime = 30s;

namespace http_status
{
constexpr int forbidden = 403;
constexpr int conflict = 409;
constexpr int unprocessable = 422;
constexpr int tooManyRequests = 429;
constexpr int badGateway = 502;
constexpr int unavailable = 503;
} // namespace http_status

} // namespace

request_machine::request_machine(request_facts facts)
    : m_facts(std::move(facts))
    , m_dispatchUntil(m_facts.dispatchUntil)
{
}

request_actions request_machine::start(const event_context & /*context*/)
{
    request_actions actions;
    if (m_facts.workspace.isEmpty()) {
        // Requests on routes that need no API key belong to no workspace and have no quota.
        claimOrEnqueue(actions);
        return actions;
    }
    m_phase = phase::charging;
    actions.push_back(charge_action {m_facts.charge});
    return actions;
}

request_actions
request_machine::charged(bool isGranted, std::optional<std::chrono::milliseconds> retryAfter, const event_context & /*context*/)
{
    request_actions actions;
    if (m_phase == phase::finished) {
        // The caller disconnected while the charge was being decided.
        if (isGranted) {
            actions.push_back(settle_action {});
        }
        return actions;
    }
    if (m_phase != phase::charging) {
        return actions;
    }
    if (!isGranted) {
        refuse(http_status::tooManyRequests,
               {error_code::quota_exceeded, "the workspace has exceeded its token rate"},
               true,
               retryAfter,
               actions);
        return actions;
    }
    m_isCharged = true;
    claimOrEnqueue(actions);
    return actions;
}

request_actions request_machine::claimed(claim_result result, const event_context & /*context*/)
{
    request_actions actions;
    if (m_phase == phase::finished) {
        // The caller disconnected while the claim was being decided. The call was never dispatched.
        if (result == claim_result::won) {
            actions.push_back(end_claim_action {claim_ending::released});
        }
        return actions;
    }
    if (m_phase != phase::claiming) {
        return actions;
    }
    switch (result) {
    case claim_result::won:
        m_isClaimed = true;
        m_phase = phase::queued;
        actions.push_back(enqueue_action {});
        break;
    case claim_result::done:
        settle({}, actions);
        actions.push_back(replay_response_action {});
        finish(actions);
        break;
    case claim_result::in_progress:
        refuse(http_status::conflict,
               {error_code::in_progress, "another request with this idempotency key is running"},
               false,
               overloadRetryAfter,
               actions);
        break;
    case claim_result::outcome_unknown:
        refuse(http_status::conflict,
               {error_code::outcome_unknown, "an earlier request with this idempotency key has an unknown outcome"},
               false,
               std::nullopt,
               actions);
        break;
    case claim_result::mismatch:
        refuse(http_status::unprocessable,
               {error_code::conflict, "the idempotency key was already used with a different request"},
               true,
               std::nullopt,
               actions);
        break;
    case claim_result::unavailable:
        refuse(http_status::unavailable,
               {error_code::unavailable, "the idempotency key cannot be claimed at the moment"},
               true,
               overloadRetryAfter,
               actions);
        break;
    }
    return actions;
}

request_actions request_machine::dequeued(const event_context &context)
{
    request_actions actions;
    if (m_phase != phase::queued) {
        return actions;
    }
    if (!context.isAuthorised && !m_isDispatched) {
        refuse(http_status::forbidden,
               {error_code::key_withdrawn, "the API key was withdrawn while the request was waiting"},
               true,
               std::nullopt,
               actions);
        return actions;
    }
    m_phase = phase::reserving;
    beginReservation(actions);
    return actions;
}

request_actions
request_machine::candidatesListed(endpoint_role role, std::vector<endpoint_id> candidates, const event_context & /*context*/)
{
    request_actions actions;
    reservation *wanted = findReservation(role);
    const bool isWanted = wanted != nullptr && wanted->candidates.empty();
    if (m_phase != phase::reserving || !isWanted) {
        return actions;
    }
    wanted->candidates = std::move(candidates);
    requestNextSlot(*wanted, actions);
    return actions;
}

request_actions request_machine::slotDecided(const endpoint_id &endpoint, bool isGranted, const event_context &context)
{
    request_actions actions;
    const auto abandoned = std::find(m_abandonedSlotRequests.begin(), m_abandonedSlotRequests.end(), endpoint);
    if (abandoned != m_abandonedSlotRequests.end()) {
        m_abandonedSlotRequests.erase(abandoned);
        if (isGranted) {
            actions.push_back(release_slot_action {endpoint, attempt_verdict::cancelled});
        }
        return actions;
    }
    const auto requested =
        std::find_if(m_reservations.begin(), m_reservations.end(), [&](const reservation &entry) { return entry.requested == endpoint; });
    if (m_phase != phase::reserving || requested == m_reservations.end()) {
        const bool isHeld =
            std::any_of(m_reservations.begin(), m_reservations.end(), [&](const reservation &entry) { return entry.held == endpoint; });
        if (isGranted && !isHeld) {
            actions.push_back(release_slot_action {endpoint, attempt_verdict::cancelled});
        }
        return actions;
    }
    requested->requested.reset();
    if (!isGranted) {
        requestNextSlot(*requested, actions);
        return actions;
    }
    requested->held = endpoint;
    const bool isComplete =
        std::all_of(m_reservations.begin(), m_reservations.end(), [](const reservation &entry) { return entry.held.has_value(); });
    if (isComplete) {
        dispatch(context, actions);
    }
    return actions;
}

request_actions request_machine::prefillDone(const attempt_id &attempt, const event_context & /*context*/)
{
    request_actions actions;
    if (m_phase != phase::prefilling || !isCurrent(attempt)) {
        return actions;
    }
    m_isPrefillResultHeld = true;
    releaseSlot(*findReservation(endpoint_role::prefill), attempt_verdict::succeeded, actions);
    startDecode(actions);
    return actions;
}

request_actions
request_machine::decodeEvent(const attempt_id &attempt, std::int64_t position, std::string_view text, const event_context &context)
{
    request_actions actions;
    if (m_phase != phase::decoding || !isCurrent(attempt) || position < m_nextPosition) {
        return actions;
    }
    m_isPrefillResultHeld = false;
    if (position > m_nextPosition) {
        // Events were lost between engine and router. Resume after the last event before the gap.
        const endpoint_id decode = *heldEndpoint(endpoint_role::decode);
        actions.push_back(cancel_attempt_action {decode, m_attempt});
        retryOrFail({{error_code::connection_lost, "events of the decode stream were lost"}, false}, context, actions);
        return actions;
    }
    if (!m_isAnswerStarted) {
        m_isAnswerStarted = true;
        actions.push_back(start_response_action {m_prefillEndpoint, *heldEndpoint(endpoint_role::decode)});
    }
    ++m_nextPosition;
    m_generated += text;
    if (!text.empty()) {
        m_completion += token_count(1);
    }
    actions.push_back(relay_event_action {});
    return actions;
}

request_actions
request_machine::decodeDone(const attempt_id &attempt, token_count prompt, token_count completion, const event_context & /*context*/)
{
    request_actions actions;
    if (m_phase != phase::decoding || !isCurrent(attempt)) {
        return actions;
    }
    m_isPrefillResultHeld = false;
    releaseSlots(attempt_verdict::succeeded, actions);
    // The prompt of a continuation contains the text generated by earlier runs. The workspace pays only for the original prompt.
    const token_count promptCost = m_earlierCompletion > token_count() ? std::min(prompt, m_facts.promptCharge) : prompt;
    settle(promptCost + m_earlierCompletion + completion, actions);
    actions.push_back(finish_response_action {});
    finish(actions);
    return actions;
}

request_actions request_machine::plainDone(const attempt_id &attempt, int /*status*/, const event_context & /*context*/)
{
    request_actions actions;
    if (m_phase != phase::calling || !isCurrent(attempt)) {
        return actions;
    }
    const endpoint_id endpoint = *heldEndpoint(endpoint_role::plain);
    releaseSlots(attempt_verdict::succeeded, actions);
    endClaim(claim_ending::answered, actions);
    settle(m_facts.charge, actions);
    actions.push_back(relay_plain_response_action {endpoint});
    finish(actions);
    return actions;
}

request_actions request_machine::attemptFailed(const attempt_id &attempt, const attempt_failure &failure, const event_context &context)
{
    request_actions actions;
    const bool isRunning = m_phase == phase::prefilling || m_phase == phase::decoding || m_phase == phase::calling;
    if (!isRunning || !isCurrent(attempt)) {
        return actions;
    }
    retryOrFail(failure, context, actions);
    return actions;
}

request_actions request_machine::callerDisconnected(const event_context & /*context*/)
{
    request_actions actions;
    if (m_phase == phase::finished) {
        return actions;
    }
    if (m_phase == phase::queued) {
        actions.push_back(dequeue_action {});
    }
    if (m_phase == phase::calling && !m_facts.isRetryable) {
        // The call may have run. Its outcome is still needed for a request that is sent again with the same key.
        return actions;
    }
    if (m_phase == phase::prefilling) {
        actions.push_back(cancel_attempt_action {*heldEndpoint(endpoint_role::prefill), m_attempt});
    } else if (m_phase == phase::decoding) {
        actions.push_back(cancel_attempt_action {*heldEndpoint(endpoint_role::decode), m_attempt});
    } else if (m_phase == phase::calling) {
        actions.push_back(cancel_attempt_action {*heldEndpoint(endpoint_role::plain), m_attempt});
    }
    releaseKv(actions);
    releaseSlots(attempt_verdict::cancelled, actions);
    endClaim(claim_ending::released, actions);
    settle(costSoFar(), actions);
    finish(actions);
    return actions;
}

request_actions request_machine::queueExpired(const event_context & /*context*/)
{
    return refuseQueued({error_code::deadline_exceeded, "no endpoint became available before the request's dispatch deadline"});
}

request_actions request_machine::shed(const event_context & /*context*/)
{
    return refuseQueued({error_code::overloaded, "the queue is too long to dispatch the request before its deadline"});
}

const request_facts &request_machine::facts() const
{
    return m_facts;
}

const std::string &request_machine::generated() const
{
    return m_generated;
}

token_count request_machine::remainingTokens() const
{
    return m_facts.maxTokens - m_earlierCompletion;
}

bool request_machine::isFinished() const
{
    return m_phase == phase::finished;
}

bool request_machine::isQueued() const
{
    return m_phase == phase::queued;
}

deadline request_machine::dispatchUntil() const
{
    return m_dispatchUntil;
}

void request_machine::claimOrEnqueue(request_actions &actions)
{
    if (m_facts.needsClaim()) {
        m_phase = phase::claiming;
        actions.push_back(claim_action {});
    } else {
        m_phase = phase::queued;
        actions.push_back(enqueue_action {});
    }
}

attempt_id request_machine::nextAttempt()
{
    ++m_attemptCount;
    m_attempt = attempt_id(m_facts.id.value() + "." + std::to_string(m_attemptCount));
    return m_attempt;
}

bool request_machine::isCurrent(const attempt_id &attempt) const
{
    return attempt == m_attempt;
}

// Reserves the decode slot together with the prefill slot, so that no prefill result waits for a decode slot.
void request_machine::beginReservation(request_actions &actions)
{
    m_reservations.clear();
    if (m_facts.kind == service_kind::plain) {
        m_reservations.push_back({endpoint_role::plain, {}, 0, {}, {}});
    } else {
        m_reservations.push_back({endpoint_role::decode, {}, 0, {}, {}});
        m_reservations.push_back({endpoint_role::prefill, {}, 0, {}, {}});
    }
    for (const reservation &wanted : m_reservations) {
        actions.push_back(list_candidates_action {wanted.role});
    }
}

void request_machine::requestNextSlot(reservation &wanted, request_actions &actions)
{
    // A late response to an earlier slot request at the same endpoint could not be distinguished from the response to a new one.
    const auto isAbandoned = [this](const endpoint_id &endpoint) {
        return std::find(m_abandonedSlotRequests.begin(), m_abandonedSlotRequests.end(), endpoint) != m_abandonedSlotRequests.end();
    };
    while (wanted.next < wanted.candidates.size() && isAbandoned(wanted.candidates[wanted.next])) {
        ++wanted.next;
    }
    if (wanted.next >= wanted.candidates.size()) {
        requeueWithoutSlots(actions);
        return;
    }
    const endpoint_id endpoint = wanted.candidates[wanted.next];
    ++wanted.next;
    wanted.requested = endpoint;
    actions.push_back(request_slot_action {endpoint});
}

void request_machine::requeueWithoutSlots(request_actions &actions)
{
    releaseSlots(attempt_verdict::cancelled, actions);
    m_phase = phase::queued;
    actions.push_back(enqueue_action {});
}

void request_machine::dispatch(const event_context &context, request_actions &actions)
{
    if (!m_facts.isRetryable && m_dispatchUntil.hasPassed(context.now)) {
        // The process may have been paused for so long that the claim has expired and was won by another request.
        refuse(http_status::unavailable,
               {error_code::deadline_exceeded, "no endpoint became available before the request's dispatch deadline"},
               true,
               overloadRetryAfter,
               actions);
        return;
    }
    if (!context.isAuthorised && !m_isDispatched) {
        refuse(http_status::forbidden,
               {error_code::key_withdrawn, "the API key was withdrawn while the request was waiting"},
               true,
               std::nullopt,
               actions);
        return;
    }
    actions.push_back(note_dispatch_action {});
    m_isDispatched = true;
    if (m_facts.kind == service_kind::plain) {
        m_phase = phase::calling;
        actions.push_back(plain_call_action {*heldEndpoint(endpoint_role::plain), nextAttempt()});
        return;
    }
    m_phase = phase::prefilling;
    m_prefillEndpoint = *heldEndpoint(endpoint_role::prefill);
    actions.push_back(prefill_action {m_prefillEndpoint, nextAttempt()});
}

void request_machine::startDecode(request_actions &actions)
{
    m_phase = phase::decoding;
    m_nextPosition = 0;
    m_resumeCount = 0;
    actions.push_back(decode_action {*heldEndpoint(endpoint_role::decode), nextAttempt()});
}

void request_machine::retryOrFail(const attempt_failure &failure, const event_context &context, request_actions &actions)
{
    const bool isDecoding = m_phase == phase::decoding;
    if (isDecoding && m_nextPosition > 0 && m_resumeCount < maxResumesPerRun) {
        ++m_resumeCount;
        actions.push_back(resume_action {*heldEndpoint(endpoint_role::decode), nextAttempt(), m_nextPosition});
        return;
    }
    releaseAfterFailure(actions);
    const bool mayRetry = m_facts.isRetryable || failure.isNotSent;
    if (!mayRetry || m_retryCount >= maxRetries) {
        failPermanently(failure, actions);
        return;
    }
    ++m_retryCount;
    if (isDecoding) {
        m_earlierCompletion = m_completion;
    }
    if (m_facts.isRetryable) {
        m_dispatchUntil = deadline::after(context.now, maxRetryQueueTime);
    } else {
        m_isDispatched = false;
    }
    m_phase = phase::queued;
    actions.push_back(enqueue_action {});
}

void request_machine::releaseAfterFailure(request_actions &actions)
{
    releaseKv(actions);
    reservation *failed = findReservation(runningRole());
    if (failed != nullptr && failed->held) {
        if (m_facts.kind == service_kind::model) {
            // The engine may still be processing the request although its response was lost.
            actions.push_back(abort_at_engine_action {*failed->held});
        }
        actions.push_back(note_failure_action {*failed->held});
        releaseSlot(*failed, attempt_verdict::failed, actions);
    }
    releaseSlots(attempt_verdict::cancelled, actions);
}

void request_machine::failPermanently(const attempt_failure &failure, request_actions &actions)
{
    // The claim of a call that was certainly not sent is released. Otherwise it is unknown whether the call ran.
    const bool isNotExecuted = !m_facts.isRetryable && failure.isNotSent;
    endClaim(isNotExecuted ? claim_ending::released : claim_ending::unknown, actions);
    const bool isUnknown = !m_facts.isRetryable && !isNotExecuted;
    error cause = isUnknown ? error {error_code::outcome_unknown, "the call may have run; its response was lost"} : failure.cause;
    refuse(http_status::badGateway, std::move(cause), isNotExecuted, std::nullopt, actions);
}

void request_machine::releaseKv(request_actions &actions)
{
    if (m_isPrefillResultHeld) {
        actions.push_back(release_kv_action {m_prefillEndpoint});
        m_isPrefillResultHeld = false;
    }
}

endpoint_role request_machine::runningRole() const
{
    switch (m_phase) {
    case phase::prefilling:
        return endpoint_role::prefill;
    case phase::decoding:
        return endpoint_role::decode;
    default:
        return endpoint_role::plain;
    }
}

void request_machine::releaseSlots(attempt_verdict verdict, request_actions &actions)
{
    for (reservation &entry : m_reservations) {
        releaseSlot(entry, verdict, actions);
        if (entry.requested) {
            m_abandonedSlotRequests.push_back(*entry.requested);
            entry.requested.reset();
        }
    }
}

void request_machine::releaseSlot(reservation &held, attempt_verdict verdict, request_actions &actions)
{
    if (held.held) {
        actions.push_back(release_slot_action {*held.held, verdict});
        held.held.reset();
    }
}

void request_machine::endClaim(claim_ending ending, request_actions &actions)
{
    if (m_isClaimed) {
        m_isClaimed = false;
        actions.push_back(end_claim_action {ending});
    }
}

void request_machine::settle(token_count actual, request_actions &actions)
{
    if (m_isCharged) {
        m_isCharged = false;
        actions.push_back(settle_action {actual});
    }
}

void request_machine::refuse(
    int status, error cause, bool isNotExecuted, std::optional<std::chrono::milliseconds> retryAfter, request_actions &actions)
{
    // Before the claim is decided, nothing is known about earlier requests with the same key.
    const bool isEarlierOutcomeUnknown =
        m_facts.needsClaim() && (m_phase == phase::charging || m_phase == phase::claiming) && isNotExecuted;
    releaseSlots(attempt_verdict::cancelled, actions);
    endClaim(claim_ending::released, actions);
    settle(costSoFar(), actions);
    actions.push_back(refuse_action {status, std::move(cause), isNotExecuted, isEarlierOutcomeUnknown, retryAfter});
    finish(actions);
}

request_actions request_machine::refuseQueued(error cause)
{
    request_actions actions;
    if (m_phase == phase::queued) {
        refuse(http_status::unavailable, std::move(cause), !m_isDispatched, overloadRetryAfter, actions);
    }
    return actions;
}

void request_machine::finish(request_actions &actions)
{
    m_phase = phase::finished;
    actions.push_back(finished_action {});
}

// The cost of a request that ends early: the prompt once the request was dispatched, and the tokens generated so far.
token_count request_machine::costSoFar() const
{
    if (!m_isDispatched) {
        return {};
    }
    return m_facts.promptCharge + m_completion;
}

request_machine::reservation *request_machine::findReservation(endpoint_role role)
{
    const auto found =
        std::find_if(m_reservations.begin(), m_reservations.end(), [role](const reservation &entry) { return entry.role == role; });
    return found == m_reservations.end() ? nullptr : &*found;
}

std::optional<endpoint_id> request_machine::heldEndpoint(endpoint_role role) const
{
    for (const reservation &entry : m_reservations) {
        if (entry.role == role) {
            return entry.held;
        }
    }
    return std::nullopt;
}

} // namespace burdockshelf
