// Reactions to the end or timeout of an attempt, by the attempt's kind.

#include "forwarding/forward_flow.h"

#include "forwarding/response_timeouts.h"

#include <array>
#include <utility>

namespace burdockshelf
{

namespace
{

// After this many connection failures of a request, a plain call is repeated only within the route's maxAttempts and the retry budget, a
// prefill that cannot be sent is left out in favour of a decode without its result, and a decode that cannot be sent, is refused or breaks
// off is not repeated. No byte of the request was sent on any of these connections.
constexpr std::int64_t maxConnectFailures = 4;
// A prompt is refused after more rejections than this: where so many prefill endpoints reject it, the others are busy as well.
constexpr std::int64_t maxRejections = 3;

} // namespace

const forward_flow::attempt_rules &forward_flow::rulesOf(attempt_kind attemptKind)
{
    static constexpr std::array<attempt_rules, 4> rules = {
        attempt_rules {&forward_flow::onPlainCallEnd, &forward_flow::onPlainCallTimeout},
        attempt_rules {&forward_flow::onReserveEnd, &forward_flow::onReserveTimeout},
        attempt_rules {&forward_flow::onPrefillEnd, &forward_flow::onPrefillTimeout},
        attempt_rules {&forward_flow::onDecodeEnd, &forward_flow::onDecodeTimeout},
    };
    return rules.at(static_cast<std::size_t>(attemptKind));
}

void forward_flow::onPlainCallEnd(const flow_attempt &ended,
                                  attempt_outcome outcome,
                                  const response_summary &response,
                                  const std::optional<std::string> & /*handle*/)
{
    const bool isStreamCut = outcome == attempt_outcome::whole && m_events.isUnfinished();
    if (outcome == attempt_outcome::whole && m_isHeadRelayed && ended.hasResponse && !isStreamCut) {
        relayStreamEnd(ended.number);
        return;
    }
    m_events.dropPartial();
    if (outcome == attempt_outcome::whole && !m_isHeadRelayed) {
        const bool isFailure = response.status >= firstServerErrorStatus;
        if (isFailure && mayRetry() && hasAttemptsLeft() && spendRetry() && send(attempt_kind::plain_call, std::nullopt)) {
            return;
        }
        cancelAll();
        m_actions.emplace_back(relay_full_response {ended.number});
        m_isFinal = true;
        return;
    }
    if (!m_attempts.isEmpty()) {
        return;
    }
    const bool mayHaveExecutedThere = outcome == attempt_outcome::lost || outcome == attempt_outcome::whole;
    const bool needsNoRetryBudget = isUnsent(outcome) && m_connectFailures < maxConnectFailures;
    const bool mayContinue = needsNoRetryBudget || ((!mayHaveExecutedThere || mayRetry()) && hasAttemptsLeft() && spendRetry());
    if (mayContinue && send(attempt_kind::plain_call, std::nullopt)) {
        return;
    }
    if (m_mayHaveExecuted) {
        failRequest(refusal_cause::endpoint_failed);
    } else {
        refuseNotExecuted(refusal_cause::overloaded);
    }
}

void forward_flow::onReserveEnd(const flow_attempt &ended,
                                attempt_outcome outcome,
                                const response_summary & /*response*/,
                                const std::optional<std::string> &handle)
{
    const endpoint_state *endpoint = m_context->endpoints.find(ended.endpoint);
    if (outcome == attempt_outcome::whole && handle && endpoint != nullptr) {
        if (m_isQueued) {
            shared_capacity &capacity = m_context->sharing.of(m_service);
            capacity.monitor.noteGranted(*m_rank, m_now);
            capacity.queue.noteGranted(m_request.flow, m_now);
            m_isQueued = false;
        }
        m_reservation = capacity_reservation {ended.endpoint, endpoint->entry.address, *handle};
        continueAfterReservation();
        return;
    }
    if (outcome == attempt_outcome::whole || outcome == attempt_outcome::rejected) {
        m_context->endpoints.noteFull(ended.endpoint, m_now);
        if (m_isQueued) {
            m_context->sharing.of(m_service).monitor.noteRefused(*m_rank, m_now);
        }
    }
    m_reservationSearch.noteFull(ended.endpoint);
    sendNextReservation();
}

void forward_flow::onPrefillEnd(const flow_attempt &ended,
                                attempt_outcome outcome,
                                const response_summary & /*response*/,
                                const std::optional<std::string> &handle)
{
    if (outcome == attempt_outcome::whole && handle) {
        const endpoint_state *source = m_context->endpoints.find(ended.endpoint);
        m_lastPrefillEndpoint = ended.endpoint;
        if (source != nullptr) {
            sendDecode(prompt_handle {ended.endpoint, source->entry.address, *handle});
            return;
        }
    }
    if (isUnsent(outcome) && m_connectFailures < maxConnectFailures) {
        sendPrefill();
        return;
    }
    if (outcome == attempt_outcome::lost) {
        m_lastPrefillEndpoint = ended.endpoint;
        retryPrefill(ended.endpoint);
        return;
    }
    if (outcome == attempt_outcome::rejected || outcome == attempt_outcome::misdirected) {
        if (m_rejections > maxRejections || !spendRetry()) {
            refuseNotExecuted(refusal_cause::overloaded);
            return;
        }
        sendPrefill();
        return;
    }
    sendDecode(std::nullopt);
}

void forward_flow::onDecodeEnd(const flow_attempt &ended,
                               attempt_outcome outcome,
                               const response_summary & /*response*/,
                               const std::optional<std::string> & /*handle*/)
{
    if (outcome == attempt_outcome::whole && !ended.hasResponse) {
        // An error response, which is not streamed.
        if (mayRetry() && hasAttemptsLeft() && spendRetry() && send(attempt_kind::decode, std::nullopt)) {
            return;
        }
        if (m_isHeadRelayed) {
            failRequest(refusal_cause::endpoint_failed);
            return;
        }
        m_actions.emplace_back(relay_full_response {ended.number});
        m_isFinal = true;
        return;
    }
    if (outcome == attempt_outcome::whole && !m_events.isUnfinished()) {
        relayStreamEnd(ended.number);
        return;
    }
    if (outcome == attempt_outcome::rejected && m_handle) {
        // The endpoint is assumed to have refused because it could not fetch the prefill's result, since capacity is normally reserved for
        // a decode. It may lack capacity instead when the decode was sent without a reservation: the reserved endpoint was no longer
        // allowed to receive requests, or the decode was a retry after a connection failure.
        m_context->endpoints.noteHandleExpired(m_handle->endpoint, m_now);
    }
    retryDecode(ended, outcome);
}

void forward_flow::relayStreamEnd(attempt_number number)
{
    if (!m_isHeadRelayed) {
        m_actions.emplace_back(relay_response_head {number});
        m_isHeadRelayed = true;
    }
    std::string rest = m_events.takeRest();
    if (!rest.empty()) {
        m_actions.emplace_back(relay_body_data {std::move(rest)});
    }
    m_actions.emplace_back(relay_response_end {});
    m_isFinal = true;
}

void forward_flow::retryDecode(const flow_attempt &ended, attempt_outcome outcome)
{
    if (m_connectFailures == 0) {
        m_handle.reset();
    }
    m_events.dropPartial();
    if (m_mayHaveExecuted && m_context->quarantine.isSuspect(m_request.facts.parts, m_now)) {
        failRequest(refusal_cause::suspected);
        return;
    }
    const bool mayContinue = (!m_mayHaveExecuted || mayRetry()) && hasAttemptsLeft() && m_connectFailures < maxConnectFailures;
    const bool needsNoRetryBudget = isUnsent(outcome) && m_attempts.isNewest(ended.number) && m_attemptsUsed == 0;
    if (mayContinue && (needsNoRetryBudget || spendRetry())) {
        startReservationSearch();
        return;
    }
    if (m_mayHaveExecuted) {
        failRequest(refusal_cause::endpoint_failed);
    } else {
        refuseNotExecuted(refusal_cause::overloaded);
    }
}

void forward_flow::endAsLost(attempt_number number, cancel_cause cause)
{
    const std::optional<flow_attempt> ended = m_attempts.take(number);
    if (!ended) {
        return;
    }
    noteEnded(*ended, health_verdict::failed);
    leaveCandidate();
    m_mayHaveExecuted = m_mayHaveExecuted || executesRequest(ended->attemptKind);
    m_events.dropPartial();
    m_actions.emplace_back(cancel_flow_attempt {number, cause});
    (this->*rulesOf(ended->attemptKind).onEnd)(*ended, attempt_outcome::lost, {}, std::nullopt);
}

void forward_flow::onPlainCallTimeout(const flow_attempt &timedOut)
{
    if (!mayRetry() || !hasAttemptsLeft() || !spendRetry()) {
        return;
    }
    leaveCandidate();
    if (m_request.route->kind == request_kind::streaming) {
        // The old attempt is cancelled first, so that two endpoints never generate the same stream.
        cancel(timedOut);
        m_mayHaveExecuted = true;
        m_events.dropPartial();
        if (!send(attempt_kind::plain_call, std::nullopt)) {
            failRequest(refusal_cause::endpoint_failed);
        }
        return;
    }
    // The attempts that timed out go on in parallel. The first complete response is used, except that a server error (5xx) is retried
    // while that is possible.
    send(attempt_kind::plain_call, std::nullopt);
}

void forward_flow::onReserveTimeout(const flow_attempt &timedOut)
{
    cancel(timedOut);
    if (m_awaitedReserve != timedOut.number) {
        return;
    }
    m_reservationSearch.noteFull(timedOut.endpoint);
    sendNextReservation();
}

void forward_flow::onPrefillTimeout(const flow_attempt &timedOut)
{
    const endpoint_state *prefillEndpoint = m_context->endpoints.find(timedOut.endpoint);
    const bool isBusy =
        prefillEndpoint != nullptr && prefillEndpoint->lastResponseAt > timedOut.sentAt && m_now - timedOut.sentAt < maxPrefillTime();
    if (isBusy) {
        if (flow_attempt *waiting = m_attempts.find(timedOut.number)) {
            waiting->timeoutAt = deadline::after(m_now, responseTimeoutFor(attempt_kind::prefill, timedOut.endpoint));
        }
        return;
    }
    cancel(timedOut);
    if (m_side == rollout_side::candidate) {
        leaveCandidate();
        startReservationSearch();
        return;
    }
    retryPrefill(std::nullopt);
}

void forward_flow::retryPrefill(const std::optional<endpoint_id> &preferred)
{
    // A repeated prefill counts as an attempt, and one attempt must remain for the decode.
    const bool mayPrefillAgain = m_attemptsUsed + 1 < m_request.route->maxAttempts && spendRetry();
    const endpoint_state *preferredEndpoint = preferred ? m_context->endpoints.find(*preferred) : nullptr;
    const bool isPreferredUsable = preferredEndpoint != nullptr && m_context->endpoints.mayReceive(*preferred, m_now);
    if (mayPrefillAgain
        && (isPreferredUsable ? sendTo(*preferredEndpoint, attempt_kind::prefill, std::nullopt)
                              : send(attempt_kind::prefill, std::nullopt))) {
        ++m_attemptsUsed;
        return;
    }
    sendDecode(std::nullopt);
}

void forward_flow::onDecodeTimeout(const flow_attempt &timedOut)
{
    if (!mayRetry() || !hasAttemptsLeft()) {
        return;
    }
    // A pause is no failure: the decode goes on until its replacement can be sent.
    m_silentDecode = timedOut.number;
    leaveCandidate();
    startReservationSearch();
}

void forward_flow::replaceSilentDecode()
{
    const flow_attempt *silent = m_attempts.find(*m_silentDecode);
    const bool isReserved = isReservationUsable();
    const bool isHeldBack = m_context->quarantine.find(m_request.facts.parts, m_now) != nullptr
        || m_context->quarantine.isSuspect(m_request.facts.parts, m_now);
    if (silent == nullptr || !isReserved || isHeldBack || !spendRetry()) {
        keepSilentDecode();
        return;
    }
    // The old decode is cancelled first, so that two endpoints never generate the same stream.
    cancel(flow_attempt(*silent));
    stopReservationSearch();
    m_mayHaveExecuted = true;
    m_handle.reset();
    m_events.dropPartial();
    continueAfterReservation();
}

void forward_flow::keepSilentDecode()
{
    if (flow_attempt *silent = m_attempts.find(*m_silentDecode)) {
        silent->timeoutAt = deadline::after(m_now, streamIdleTimeout());
    }
    stopReservationSearch();
    if (m_reservation) {
        m_actions.emplace_back(release_reservation {*std::exchange(m_reservation, std::nullopt)});
    }
}

void forward_flow::stopReservationSearch()
{
    leaveReservationQueue();
    m_silentDecode.reset();
    m_awaitedReserve.reset();
    m_reservationSearch.stop();
}

void forward_flow::releaseLateReservation(const flow_attempt &ended, const std::optional<std::string> &handle)
{
    const endpoint_state *endpoint = m_context->endpoints.find(ended.endpoint);
    if (handle && endpoint != nullptr) {
        m_actions.emplace_back(release_reservation {{ended.endpoint, endpoint->entry.address, *handle}});
    }
}

} // namespace burdockshelf
