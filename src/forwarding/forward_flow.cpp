#include "forwarding/forward_flow.h"

#include "forwarding/response_timeouts.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// A decode endpoint processes a prompt at half the speed of a prefill endpoint, and other streams there are delayed meanwhile.
constexpr double decodePrefillFactor = 2.0;
constexpr std::chrono::duration<double> decodePrefillCost {0.12};
// A request that gets no reservation within this fraction of its route's target is refused, so that its caller can retry later.
constexpr double reservationFractionOfTarget = 0.7;
// Most outputs are much shorter than their limit. Capacity is reserved for 1.5 times the output that the caller expects; a stream that
// outgrows its reservation may be preempted when the endpoint is full.
constexpr double outputMargin = 1.5;
constexpr token_count minOutputReserve {300};
// Only successful responses are streamed.
constexpr int statusOk = 200;

} // namespace

forward_flow::forward_flow(admitted_request request)
    : m_request(std::move(request))
    , m_deadline(std::min(m_request.facts.callerDeadline, deadline::after(m_request.arrived, m_request.route->timeout)))
{
    m_events.setLastId(m_request.facts.resumeAfter);
}

flow_actions forward_flow::begin(const flow_context &context, instant now)
{
    return run(context, now, [this] {
        m_service = chooseService(*m_request.route, m_context->random);
        m_profile = m_request.plan->findService(m_service);
        m_context->retryBudget.earn(m_service, m_now);
        sendFirst();
    });
}

flow_actions forward_flow::onHead(attempt_number number, const flow_context &context, instant now)
{
    return run(context, now, [&] {
        flow_attempt *attempt = m_attempts.find(number);
        if (attempt == nullptr || attempt->hasResponse) {
            return;
        }
        if (m_silentDecode == number) {
            keepSilentDecode();
        }
        attempt->hasResponse = true;
        attempt->timeoutAt = deadline::after(m_now, streamIdleTimeout());
        m_context->endpoints.noteResponse(attempt->endpoint, attempt->sentAt, m_now);
        m_context->endpoints.noteStatus(attempt->endpoint, attempt->sentAt, statusOk, m_request.facts.id);
    });
}

flow_actions forward_flow::onBodyData(attempt_number number, std::string_view bytes, const flow_context &context, instant now)
{
    return run(context, now, [&] {
        flow_attempt *attempt = m_attempts.find(number);
        if (attempt == nullptr || m_isFinal) {
            return;
        }
        if (m_silentDecode == number) {
            keepSilentDecode();
        }
        attempt->timeoutAt = deadline::after(m_now, streamIdleTimeout());
        recordSurvival(*attempt);
        if (!m_isHeadRelayed) {
            // The head is relayed with the first bytes of the body, so that a stream that breaks before them can be restarted at another
            // endpoint.
            m_actions.emplace_back(relay_response_head {number});
            m_isHeadRelayed = true;
        }
        std::string whole = m_events.take(bytes);
        if (!whole.empty()) {
            m_actions.emplace_back(relay_body_data {std::move(whole)});
        }
        if (m_events.isPartialTooLong()) {
            endAsLost(number, cancel_cause::event_too_long);
        }
    });
}

flow_actions forward_flow::onEnd(attempt_number number,
                                 attempt_outcome outcome,
                                 const response_summary &response,
                                 const std::optional<std::string> &handle,
                                 const flow_context &context,
                                 instant now)
{
    return run(context, now, [&] {
        const std::optional<flow_attempt> ended = m_attempts.take(number);
        if (!ended) {
            return;
        }
        m_context->endpoints.noteStatus(ended->endpoint, ended->sentAt, response.status, m_request.facts.id);
        m_context->endpoints.noteEnded(ended->endpoint,
                                       tokensFor(ended->attemptKind),
                                       ended->sentAt,
                                       ended->hasResponse,
                                       healthVerdictOf(*ended, outcome, response, m_isFinal),
                                       m_now);
        if (outcome == attempt_outcome::misdirected) {
            m_context->endpoints.noteMisdirected(ended->endpoint);
        }
        recordLoss(*ended, outcome, response);
        if (outcome == attempt_outcome::lost || outcome == attempt_outcome::whole) {
            m_mayHaveExecuted = m_mayHaveExecuted || executesRequest(ended->attemptKind);
        }
        if (isUnsent(outcome)) {
            ++m_connectFailures;
            counterOf(ended->attemptKind) -= 1;
        }
        if (m_silentDecode == number) {
            stopReservationSearch();
        }
        if (ended->attemptKind == attempt_kind::reserve && m_awaitedReserve != number) {
            releaseLateReservation(*ended, handle);
            return;
        }
        if (m_isFinal || m_isCallerDisconnected) {
            return;
        }
        (this->*rulesOf(ended->attemptKind).onEnd)(*ended, outcome, response, handle);
    });
}

flow_actions forward_flow::onDeadline(const flow_context &context, instant now)
{
    return run(context, now, [this] {
        if (m_deadline.hasPassed(m_now)) {
            endAtDeadline();
            return;
        }
        if (!m_isFinal && m_reservationSearch.startDueRound(m_now)) {
            sendNextReservation();
        }
        for (const flow_attempt &attempt : m_attempts.all()) {
            if (attempt.timeoutAt.hasPassed(m_now) && !m_isFinal) {
                if (flow_attempt *overdue = m_attempts.find(attempt.number)) {
                    overdue->timeoutAt = deadline::never();
                }
                (this->*rulesOf(attempt.attemptKind).onTimeout)(attempt);
            }
        }
    });
}

void forward_flow::endAtDeadline()
{
    const bool mayHaveExecuted = m_mayHaveExecuted || m_attempts.mayBeRunning();
    cancelAll();
    if (m_isFinal) {
        return;
    }
    if (mayHaveExecuted) {
        failRequest(refusal_cause::timed_out);
    } else {
        refuseNotExecuted(refusal_cause::expired);
    }
}

flow_actions forward_flow::onCallerDisconnected(const flow_context &context, instant now)
{
    return run(context, now, [this] {
        m_isCallerDisconnected = true;
        m_isFinal = true;
        // A non-idempotent call is left to complete, because its effect is wanted; its response is discarded.
        if (m_request.route->kind != request_kind::non_idempotent) {
            cancelAll();
        }
        releaseUnused();
    });
}

deadline forward_flow::nextDeadline() const
{
    if (m_isFinal) {
        // The remaining attempts may run until the request's deadline; nothing is retried any more.
        return m_attempts.isEmpty() ? deadline::never() : m_deadline;
    }
    return std::min({m_deadline, m_reservationSearch.nextRoundAt(), m_attempts.nextTimeout()});
}

bool forward_flow::isDone() const
{
    return m_isFinal && m_attempts.isEmpty();
}

bool forward_flow::hasFinalResponse() const
{
    return m_isFinal;
}

const admitted_request &forward_flow::request() const
{
    return m_request;
}

std::int64_t forward_flow::attemptCount() const
{
    return m_attemptsUsed + m_prefillsSent;
}

bool forward_flow::mayRetry() const
{
    const traffic_route &route = *m_request.route;
    return route.kind == request_kind::idempotent || (route.kind == request_kind::streaming && route.isResumable);
}

bool forward_flow::hasAttemptsLeft() const
{
    return m_attemptsUsed < std::max<std::int64_t>(m_request.route->maxAttempts, 1);
}

bool forward_flow::usesEngine() const
{
    return m_profile != nullptr && m_profile->engine.has_value();
}

void forward_flow::sendFirst()
{
    if (m_deadline.hasPassed(m_now)) {
        refuseNotExecuted(refusal_cause::expired);
    } else if (usesEngine()) {
        startReservationSearch();
    } else {
        sendPlain();
    }
}

void forward_flow::sendPlain()
{
    if (!send(attempt_kind::plain_call, std::nullopt)) {
        refuseNotExecuted(refusal_cause::no_endpoint);
    }
}

void forward_flow::startReservationSearch()
{
    const auto wait = std::chrono::duration_cast<milliseconds>(m_request.route->target * reservationFractionOfTarget);
    m_reservationSearch.begin(m_attempts.tried(), deadline::after(m_now, wait));
    sendNextReservation();
}

void forward_flow::sendNextReservation()
{
    if (endIfQuarantined()) {
        return;
    }
    const endpoint_state *chosen = m_context->endpoints.choose(m_service,
                                                               attempt_kind::reserve,
                                                               tokensFor(attempt_kind::reserve),
                                                               m_reservationSearch.excluded(),
                                                               m_profile,
                                                               m_now,
                                                               m_context->random);
    if (chosen == nullptr && m_reservationSearch.isRoundEmpty()) {
        // No endpoint can take a reservation at all.
        continueAfterReservation();
        return;
    }
    if (chosen == nullptr || m_reservationSearch.isRoundFull()) {
        endReservationRound();
        return;
    }
    if (!sendTo(*chosen, attempt_kind::reserve, std::nullopt)) {
        endReservationRound();
        return;
    }
    m_awaitedReserve = m_attempts.newest();
}

void forward_flow::endReservationRound()
{
    m_actions.emplace_back(m_reservationSearch.endRound(tokensFor(attempt_kind::reserve)));
    if (m_reservationSearch.scheduleNextRound(m_now)) {
        return;
    }
    if (m_silentDecode) {
        keepSilentDecode();
        return;
    }
    if (m_mayHaveExecuted) {
        // A stream that has begun waits in an endpoint's queue rather than being aborted.
        continueAfterReservation();
        return;
    }
    refuseNotExecuted(refusal_cause::overloaded, true);
}

void forward_flow::continueAfterReservation()
{
    if (m_silentDecode) {
        replaceSilentDecode();
        return;
    }
    if (endIfQuarantined()) {
        return;
    }
    if (m_prefillsSent == 0 && !m_mayHaveExecuted) {
        if (m_reservation) {
            sendPrefill();
        } else {
            // A prompt is not processed while no endpoint could generate from it.
            refuseNotExecuted(refusal_cause::no_endpoint);
        }
        return;
    }
    const std::optional<prompt_handle> handle = m_handle;
    if (send(attempt_kind::decode, handle)) {
        return;
    }
    if (m_mayHaveExecuted) {
        failRequest(refusal_cause::endpoint_failed);
    } else {
        refuseNotExecuted(refusal_cause::no_endpoint);
    }
}

void forward_flow::sendPrefill()
{
    if (endIfQuarantined()) {
        return;
    }
    const token_count prompt = tokensFor(attempt_kind::prefill);
    const endpoint_state *prefillEndpoint =
        m_context->endpoints.choose(m_service, attempt_kind::prefill, prompt, m_attempts.tried(), m_profile, m_now, m_context->random);
    if (prefillEndpoint == nullptr || isPrefillFasterAtDecode(*prefillEndpoint, prompt)
        || !sendTo(*prefillEndpoint, attempt_kind::prefill, std::nullopt)) {
        sendDecode(std::nullopt);
    }
}

bool forward_flow::isPrefillFasterAtDecode(const endpoint_state &prefillEndpoint, token_count prompt) const
{
    const endpoint_table::prefill_estimate estimate = m_context->endpoints.estimatePrefill(prefillEndpoint, prompt, m_now);
    const bool isSlow = estimate.wait + estimate.processingTime > estimate.processingTime * decodePrefillFactor + decodePrefillCost;
    return m_reservation && (isSlow || !m_context->endpoints.hasReliableHandles(prefillEndpoint, m_now));
}

void forward_flow::sendDecode(std::optional<prompt_handle> source)
{
    m_handle = source;
    if (endIfQuarantined()) {
        return;
    }
    if (!send(attempt_kind::decode, std::move(source))) {
        refuseNotExecuted(refusal_cause::no_endpoint);
    }
}

bool forward_flow::send(attempt_kind attemptKind, std::optional<prompt_handle> source)
{
    const endpoint_state *chosen = nullptr;
    if (attemptKind == attempt_kind::decode && m_reservation && m_context->endpoints.mayReceive(m_reservation->endpoint, m_now)) {
        chosen = m_context->endpoints.find(m_reservation->endpoint);
    } else {
        chosen = m_context->endpoints.choose(
            m_service, attemptKind, tokensFor(attemptKind), m_attempts.tried(), m_profile, m_now, m_context->random);
    }
    return chosen != nullptr && sendTo(*chosen, attemptKind, std::move(source));
}

bool forward_flow::sendTo(const endpoint_state &chosen, attempt_kind attemptKind, std::optional<prompt_handle> source)
{
    const bool isQuarantined = attemptKind != attempt_kind::reserve && m_context->quarantine.find(m_request.facts.parts, m_now) != nullptr;
    if (isQuarantined || !m_context->endpoints.mayReceive(chosen.entry.id, m_now)) {
        return false;
    }
    // The reservation has taken the request from the cold endpoint's share already.
    const bool usesReservation = attemptKind == attempt_kind::decode && m_reservation && m_reservation->endpoint == chosen.entry.id;
    if (!usesReservation && !m_context->endpoints.takeColdStartToken(chosen.entry.id, m_now)) {
        return false;
    }
    const flow_attempt &attempt =
        m_attempts.add(attemptKind, chosen.entry, m_now, deadline::after(m_now, responseTimeoutFor(attemptKind, chosen.entry.id)));
    counterOf(attemptKind) += 1;

    start_attempt action;
    action.number = attempt.number;
    action.attemptKind = attemptKind;
    action.endpoint = attempt.endpoint;
    action.startTime = chosen.entry.startTime;
    action.address = chosen.entry.address;
    action.service = m_service;
    action.source = std::move(source);
    action.tokens = tokensFor(attemptKind);
    // A reservation can be used once, and only at its own endpoint.
    if (usesReservation) {
        action.capacityReservation = std::exchange(m_reservation, std::nullopt);
    } else if (attemptKind == attempt_kind::decode && m_reservation) {
        m_actions.emplace_back(release_reservation {*std::exchange(m_reservation, std::nullopt)});
    }
    if (attemptKind == attempt_kind::decode && !action.source && m_lastPrefillEndpoint) {
        const endpoint_state *prefillEndpoint = m_context->endpoints.find(*m_lastPrefillEndpoint);
        if (prefillEndpoint != nullptr) {
            action.fetchFrom = prefillEndpoint->entry.address;
        }
    }
    action.resumeAfter = m_events.lastId();
    action.until = m_deadline;
    action.isStreamed = attemptKind == attempt_kind::decode
        || (attemptKind == attempt_kind::plain_call && m_request.route->kind == request_kind::streaming);
    m_context->endpoints.noteSent(attempt.endpoint, tokensFor(attemptKind), m_now);
    m_actions.emplace_back(std::move(action));
    return true;
}

bool forward_flow::spendRetry()
{
    return m_context->retryBudget.spend(m_service, m_now);
}

void forward_flow::releaseUnused()
{
    if (m_handle) {
        m_actions.emplace_back(release_handle {*std::exchange(m_handle, std::nullopt)});
    }
    if (m_reservation) {
        m_actions.emplace_back(release_reservation {*std::exchange(m_reservation, std::nullopt)});
    }
}

void forward_flow::cancel(const flow_attempt &target)
{
    const std::optional<flow_attempt> ended = m_attempts.take(target.number);
    if (!ended) {
        return;
    }
    const bool wasOverdue = !ended->hasResponse && ended->responseDeadline.hasPassed(m_now);
    const health_verdict verdict = wasOverdue ? health_verdict::failed : health_verdict::abandoned;
    m_context->endpoints.noteEnded(ended->endpoint, tokensFor(ended->attemptKind), ended->sentAt, ended->hasResponse, verdict, m_now);
    m_actions.emplace_back(cancel_flow_attempt {ended->number});
}

void forward_flow::cancelAll()
{
    for (const flow_attempt &attempt : m_attempts.all()) {
        cancel(attempt);
    }
}

flow_actions forward_flow::run(const flow_context &context, instant now, const std::function<void()> &step)
{
    m_context = &context;
    m_now = now;
    m_actions.clear();
    step();
    m_context = nullptr;
    return std::exchange(m_actions, {});
}

milliseconds forward_flow::responseTimeoutFor(attempt_kind attemptKind, const endpoint_id &endpoint) const
{
    const endpoint_table &endpoints = m_context->endpoints;
    return firstResponseTimeout(attemptKind, *m_request.route, endpoints, endpoints.find(endpoint), tokensFor(attemptKind), m_now);
}

std::int64_t &forward_flow::counterOf(attempt_kind attemptKind)
{
    switch (attemptKind) {
    case attempt_kind::reserve:
        return m_reservesSent;
    case attempt_kind::prefill:
        return m_prefillsSent;
    case attempt_kind::plain_call:
    case attempt_kind::decode:
        break;
    }
    return m_attemptsUsed;
}

token_count forward_flow::outputReserve() const
{
    const token_count limit = m_request.facts.outputTokenLimit;
    if (!m_request.facts.expectedOutputTokens) {
        return limit;
    }
    const double expected = static_cast<double>(m_request.facts.expectedOutputTokens->value()) * outputMargin;
    return std::min(std::max(token_count(static_cast<std::int64_t>(expected)), minOutputReserve), limit);
}

token_count forward_flow::tokensFor(attempt_kind attemptKind) const
{
    const token_count prompt = m_request.facts.promptTokens.value_or(token_count());
    switch (attemptKind) {
    case attempt_kind::plain_call:
        return {};
    case attempt_kind::prefill:
        return prompt;
    case attempt_kind::reserve:
    case attempt_kind::decode:
        break;
    }
    return prompt + outputReserve();
}

} // namespace burdockshelf
