#include "forwarding/forward_flow.h"

#include "forwarding/response_timeouts.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// Most outputs are much shorter than their limit. Capacity is reserved for 1.5 times the output that the caller expects; a stream that
// outgrows its reservation may be preempted when the endpoint is full.
constexpr double outputMargin = 1.5;
constexpr token_count minOutputReserve {300};
// Only successful responses are streamed.
constexpr int statusOk = 200;

} // namespace

deadline allowedUntil(const forward_facts &facts, const traffic_route &route, instant arrived)
{
    return std::min(facts.callerDeadline, deadline::after(arrived, route.timeout));
}

forward_flow::forward_flow(admitted_request request)
    : m_request(std::move(request))
    , m_origin(m_request.origin)
    , m_deadline(allowedUntil(m_request.facts, *m_request.route, m_request.arrived))
{
    m_events.setLastId(m_request.facts.resumeAfter);
}

flow_actions forward_flow::begin(const flow_context &context, instant now)
{
    return run(context, now, [this] {
        m_service = m_origin ? m_origin->service : chooseService(*m_request.route, m_context->random);
        m_profile = m_request.plan->findService(m_service);
        m_context->retryBudget.earn(m_service, m_now);
        if (m_origin) {
            m_actions.emplace_back(fix_origin {*m_origin});
        }
        chooseSide();
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
        noteReached();
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
        if (std::exchange(m_outputOf, number) != number) {
            m_events.beginOutput();
        }
        std::string whole = m_events.take(bytes);
        if (!whole.empty()) {
            m_actions.emplace_back(relay_body_data {std::move(whole)});
        }
        if (m_events.isPartialTooLong()) {
            endAsLost(number, cancel_cause::event_too_long);
        } else if (m_events.isBroken()) {
            endAsLost(number, cancel_cause::not_a_continuation);
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
        const health_verdict verdict = healthVerdictOf(*ended, outcome, response, m_isFinal);
        noteEnded(*ended, verdict);
        if (outcome == attempt_outcome::whole && executesRequest(ended->attemptKind)) {
            noteReached();
        }
        if (outcome == attempt_outcome::misdirected) {
            m_context->endpoints.noteMisdirected(ended->endpoint);
        }
        recordLoss(*ended, outcome, response);
        noteCapacityFreed(*ended);
        if (outcome == attempt_outcome::lost || outcome == attempt_outcome::whole) {
            m_mayHaveExecuted = m_mayHaveExecuted || executesRequest(ended->attemptKind);
        }
        if (isUnsent(outcome)) {
            ++m_connectFailures;
            counterOf(ended->attemptKind) -= 1;
        } else if (isNotExecuted(outcome) && ended->attemptKind == attempt_kind::prefill) {
            ++m_rejections;
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
        if (m_side == rollout_side::candidate && verdict != health_verdict::good && ended->attemptKind != attempt_kind::reserve) {
            leaveCandidate();
            if (ended->attemptKind == attempt_kind::prefill) {
                startReservationSearch();
                return;
            }
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
        const bool isOffered = m_isQueued && m_context->sharing.of(m_service).queue.hasOffer(m_request.flow);
        if (!m_isFinal && m_reservationSearch.startDueRound(m_now, isOffered)) {
            startReservationRound();
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

void forward_flow::limitDeadline(deadline latest)
{
    m_deadline = std::min(m_deadline, latest);
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
    return m_request.route->kind == request_kind::idempotent || isResumableStream();
}

bool forward_flow::isResumableStream() const
{
    return m_request.route->kind == request_kind::streaming && m_request.route->isResumable;
}

bool forward_flow::hasAttemptsLeft() const
{
    return m_attemptsUsed < std::max<std::int64_t>(m_request.route->maxAttempts, 1);
}

bool forward_flow::usesEngine() const
{
    return m_profile != nullptr && m_profile->engine.has_value();
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
    noteEnded(*ended, verdict);
    m_actions.emplace_back(cancel_flow_attempt {ended->number});
    noteCapacityFreed(*ended);
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
    if (m_isFinal) {
        leaveReservationQueue();
    }
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
