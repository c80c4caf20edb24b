#include "forwarding/forward_flow.h"

#include "forwarding/answer_patience.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// A decode endpoint reads a prompt at half the speed, and other streams there have to wait meanwhile.
constexpr double decodeReadFactor = 2.0;
constexpr std::chrono::duration<double> decodeReadCost {0.12};
// A request that finds no room within this part of its route's target is refused, so that its caller can come back later.
constexpr double waitPartOfTarget = 0.7;
// Most answers are much shorter than they may be. Room is set aside for what the caller expects and half as much again; an answer that
// outgrows its room may be interrupted for others when the endpoint is full.
constexpr double outputMargin = 1.5;
constexpr token_count leastOutputRoom {300};
// When a caller whose request was not run may come again: after the blocking of a failed endpoint has begun to end, and long before its
// own deadline.
constexpr milliseconds retryAfterOverload {120};
constexpr milliseconds retryAfterNoEndpoint {300};
// Bursts last for seconds. An answer that comes back for room is late anyway, so it comes back when the burst is likely to be over.
constexpr milliseconds retryAfterNoRoom {3000};

} // namespace

forward_flow::forward_flow(admitted_request request)
    : m_request(std::move(request))
    , m_until(std::min(m_request.facts.callerDeadline, deadline::after(m_request.arrived, m_request.route->timeout)))
{
    m_events.setLastId(m_request.facts.resumeAfter);
}

flow_actions forward_flow::begin(const flow_context &context, instant now)
{
    return run(context, now, [this] {
        m_service = drawService(*m_request.route, m_context->random);
        m_profile = m_request.plan->findService(m_service);
        m_context->retryBudget.earn(m_service, m_now);
        sendFirst();
    });
}

flow_actions forward_flow::onHead(attempt_number number, const flow_context &context, instant now)
{
    return run(context, now, [&] {
        flow_attempt *answered = m_attempts.find(number);
        if (answered == nullptr || answered->isAnswered) {
            return;
        }
        answered->isAnswered = true;
        answered->silentAt = deadline::after(m_now, nextPieceTime());
        m_context->endpoints.noteResponse(answered->endpoint, answered->sentAt, m_now);
    });
}

flow_actions forward_flow::onBodyData(attempt_number number, std::string_view bytes, const flow_context &context, instant now)
{
    return run(context, now, [&] {
        flow_attempt *sender = m_attempts.find(number);
        if (sender == nullptr || m_isFinal) {
            return;
        }
        sender->silentAt = deadline::after(m_now, nextPieceTime());
        if (!m_isHeadRelayed) {
            // The head waits for the first bytes, so that a stream that breaks before them can begin anew elsewhere.
            m_actions.emplace_back(relay_response_head {number});
            m_isHeadRelayed = true;
        }
        std::string whole = m_events.take(bytes);
        if (!whole.empty()) {
            m_actions.emplace_back(relay_body_data {std::move(whole)});
        }
    });
}

flow_actions forward_flow::onEnd(attempt_number number,
                                 attempt_outcome end,
                                 const response_summary &answer,
                                 const std::optional<std::string> &handle,
                                 const flow_context &context,
                                 instant now)
{
    return run(context, now, [&] {
        const std::optional<flow_attempt> ended = m_attempts.take(number);
        if (!ended) {
            return;
        }
        m_context->endpoints.noteEnded(ended->endpoint,
                                       tokensFor(ended->attemptKind),
                                       ended->sentAt,
                                       ended->isAnswered,
                                       verdictOf(*ended, end, answer, m_isFinal),
                                       m_now);
        if (end == attempt_outcome::misdirected) {
            m_context->endpoints.noteMisdirected(ended->endpoint);
        }
        if (end == attempt_outcome::lost || end == attempt_outcome::whole) {
            m_mayHaveRun = m_mayHaveRun || executesRequest(ended->attemptKind);
        }
        if (end == attempt_outcome::not_sent) {
            ++m_unsentTries;
            counterOf(ended->attemptKind) -= 1;
        }
        if (m_isFinal || m_isCallerDisconnected) {
            return;
        }
        (this->*rulesOf(ended->attemptKind).onEnd)(*ended, end, answer, handle);
    });
}

flow_actions forward_flow::onDeadline(const flow_context &context, instant now)
{
    return run(context, now, [this] {
        if (m_until.hasPassed(m_now)) {
            endByTime();
            return;
        }
        if (!m_isFinal && m_roomSearch.takeDue(m_now)) {
            findRoom();
        }
        for (const flow_attempt &one : m_attempts.all()) {
            if (one.silentAt.hasPassed(m_now) && !m_isFinal) {
                if (flow_attempt *silent = m_attempts.find(one.number)) {
                    silent->silentAt = deadline::never();
                }
                (this->*rulesOf(one.attemptKind).onSilence)(one);
            }
        }
    });
}

void forward_flow::endByTime()
{
    const bool mayHaveRun = m_mayHaveRun || m_attempts.mayBeRunning();
    cancelAll();
    if (m_isFinal) {
        return;
    }
    if (mayHaveRun) {
        answerFailure(refusal_cause::timed_out);
    } else {
        refuse(refusal_cause::expired, retryAfterOverload);
    }
}

flow_actions forward_flow::onCallerDisconnected(const flow_context &context, instant now)
{
    return run(context, now, [this] {
        m_isCallerDisconnected = true;
        m_isFinal = true;
        // A call that may run only once is left to end, because its effect is wanted; nobody hears of its answer.
        if (m_request.route->kind != request_kind::non_idempotent) {
            cancelAll();
        }
        releaseUnused();
    });
}

deadline forward_flow::nextDeadline() const
{
    if (m_isFinal) {
        // What is left ends with the route's time; nothing is repeated any more.
        return m_attempts.isEmpty() ? deadline::never() : m_until;
    }
    return std::min({m_until, m_roomSearch.nextRoundAt(), m_attempts.nextSilence()});
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
    if (m_until.hasPassed(m_now)) {
        refuse(refusal_cause::expired, retryAfterOverload);
    } else if (usesEngine()) {
        beginRoomSearch();
    } else {
        sendPlain();
    }
}

void forward_flow::sendPlain()
{
    if (!send(attempt_kind::plain_call, std::nullopt)) {
        refuseNotRun(refusal_cause::no_endpoint);
    }
}

void forward_flow::beginRoomSearch()
{
    const auto wait = std::chrono::duration_cast<milliseconds>(m_request.route->target * waitPartOfTarget);
    m_roomSearch.begin(m_attempts.tried(), deadline::after(m_now, wait));
    findRoom();
}

void forward_flow::findRoom()
{
    const endpoint_state *chosen = m_context->endpoints.choose(
        m_service, attempt_kind::reserve, tokensFor(attempt_kind::reserve), m_roomSearch.excluded(), m_profile, m_now, m_context->random);
    if (chosen == nullptr && m_roomSearch.isRoundNew()) {
        // No endpoint generates at all.
        continueWithRoom();
        return;
    }
    if (chosen == nullptr || m_roomSearch.isRoundFull()) {
        waitForRoom();
        return;
    }
    if (!sendTo(*chosen, attempt_kind::reserve, std::nullopt)) {
        waitForRoom();
    }
}

void forward_flow::waitForRoom()
{
    m_actions.emplace_back(m_roomSearch.endRound(tokensFor(attempt_kind::reserve)));
    if (m_roomSearch.pause(m_now)) {
        return;
    }
    if (m_mayHaveRun) {
        // A stream that has begun waits at an endpoint rather than being given up.
        continueWithRoom();
        return;
    }
    refuse(refusal_cause::overloaded, retryAfterNoRoom);
}

void forward_flow::continueWithRoom()
{
    if (m_prefillsSent == 0 && !m_mayHaveRun) {
        if (m_room) {
            sendPrefill();
        } else {
            // A prompt is not read while nobody could generate from it.
            refuseNotRun(refusal_cause::no_endpoint);
        }
        return;
    }
    const std::optional<prompt_handle> read = m_handle;
    if (send(attempt_kind::decode, read)) {
        return;
    }
    if (m_mayHaveRun) {
        answerFailure(refusal_cause::endpoint_failed);
    } else {
        refuseNotRun(refusal_cause::no_endpoint);
    }
}

void forward_flow::sendPrefill()
{
    const token_count prompt = tokensFor(attempt_kind::prefill);
    const endpoint_state *reader =
        m_context->endpoints.choose(m_service, attempt_kind::prefill, prompt, m_attempts.tried(), m_profile, m_now, m_context->random);
    if (reader == nullptr || isReadSoonerAtDecode(*reader, prompt) || !sendTo(*reader, attempt_kind::prefill, std::nullopt)) {
        sendDecode(std::nullopt);
    }
}

bool forward_flow::isReadSoonerAtDecode(const endpoint_state &reader, token_count prompt) const
{
    const endpoint_table::read_estimate estimate = m_context->endpoints.estimateRead(reader, prompt, m_now);
    const bool isSlow = estimate.wait + estimate.reading > estimate.reading * decodeReadFactor + decodeReadCost;
    return m_room && (isSlow || !m_context->endpoints.keepsHandles(reader, m_now));
}

void forward_flow::sendDecode(std::optional<prompt_handle> source)
{
    m_handle = source;
    if (!send(attempt_kind::decode, std::move(source))) {
        refuseNotRun(refusal_cause::no_endpoint);
    }
}

bool forward_flow::send(attempt_kind attemptKind, std::optional<prompt_handle> source)
{
    const endpoint_state *chosen = nullptr;
    if (attemptKind == attempt_kind::decode && m_room && m_context->endpoints.mayReceive(m_room->endpoint)) {
        chosen = m_context->endpoints.find(m_room->endpoint);
    } else {
        chosen = m_context->endpoints.choose(
            m_service, attemptKind, tokensFor(attemptKind), m_attempts.tried(), m_profile, m_now, m_context->random);
    }
    return chosen != nullptr && sendTo(*chosen, attemptKind, std::move(source));
}

bool forward_flow::sendTo(const endpoint_state &chosen, attempt_kind attemptKind, std::optional<prompt_handle> source)
{
    // Setting the room aside has taken the request out of the cold share already.
    const bool usesRoom = attemptKind == attempt_kind::decode && m_room && m_room->endpoint == chosen.entry.id;
    if (!usesRoom && !m_context->endpoints.takeColdShare(chosen.entry.id, m_now)) {
        return false;
    }
    const flow_attempt &fresh =
        m_attempts.add(attemptKind, chosen.entry.id, m_now, deadline::after(m_now, silenceFor(attemptKind, chosen.entry.id)));
    counterOf(attemptKind) += 1;

    start_attempt order;
    order.number = fresh.number;
    order.attemptKind = attemptKind;
    order.endpoint = fresh.endpoint;
    order.address = chosen.entry.address;
    order.service = m_service;
    order.source = std::move(source);
    order.tokens = tokensFor(attemptKind);
    // A reservation serves once, and only at its own endpoint.
    if (usesRoom) {
        order.capacityReservation = std::exchange(m_room, std::nullopt);
    } else if (attemptKind == attempt_kind::decode && m_room) {
        m_actions.emplace_back(release_reservation {*std::exchange(m_room, std::nullopt)});
    }
    if (attemptKind == attempt_kind::decode && !order.source && m_reader) {
        const endpoint_state *reader = m_context->endpoints.find(*m_reader);
        if (reader != nullptr) {
            order.fetchFrom = reader->entry.address;
        }
    }
    order.resumeAfter = m_events.lastId();
    order.until = m_until;
    order.isStreamed = attemptKind == attempt_kind::decode
        || (attemptKind == attempt_kind::plain_call && m_request.route->kind == request_kind::streaming);
    m_context->endpoints.noteSent(fresh.endpoint, tokensFor(attemptKind), m_now);
    m_actions.emplace_back(std::move(order));
    return true;
}

bool forward_flow::spendRepeat()
{
    return m_context->retryBudget.spend(m_service, m_now);
}

void forward_flow::refuseNotRun(refusal_cause cause)
{
    if (m_isHeadRelayed) {
        answerFailure(cause);
        return;
    }
    refuse(cause, cause == refusal_cause::no_endpoint ? retryAfterNoEndpoint : retryAfterOverload);
}

void forward_flow::releaseUnused()
{
    if (m_handle) {
        m_actions.emplace_back(release_handle {*std::exchange(m_handle, std::nullopt)});
    }
    if (m_room) {
        m_actions.emplace_back(release_reservation {*std::exchange(m_room, std::nullopt)});
    }
}

void forward_flow::answerFailure(refusal_cause cause)
{
    if (m_isHeadRelayed) {
        m_actions.emplace_back(abort_response {});
        m_isFinal = true;
        return;
    }
    refuse(cause, std::nullopt);
}

void forward_flow::refuse(refusal_cause cause, std::optional<milliseconds> retryAfter)
{
    releaseUnused();
    const bool mayBeRunning = cause == refusal_cause::timed_out || cause == refusal_cause::endpoint_failed;
    m_actions.emplace_back(refuse_request {cause, retryAfter, !m_mayHaveRun && !mayBeRunning});
    m_isFinal = true;
}

void forward_flow::cancel(const flow_attempt &target)
{
    const std::optional<flow_attempt> ended = m_attempts.take(target.number);
    if (!ended) {
        return;
    }
    const bool wasSilent = !ended->isAnswered && ended->answerDue.hasPassed(m_now);
    const endpoint_verdict verdict = wasSilent ? endpoint_verdict::failed : endpoint_verdict::abandoned;
    m_context->endpoints.noteEnded(ended->endpoint, tokensFor(ended->attemptKind), ended->sentAt, ended->isAnswered, verdict, m_now);
    m_actions.emplace_back(cancel_flow_attempt {ended->number});
}

void forward_flow::cancelAll()
{
    for (const flow_attempt &one : m_attempts.all()) {
        cancel(one);
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

milliseconds forward_flow::silenceFor(attempt_kind attemptKind, const endpoint_id &endpoint) const
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

token_count forward_flow::roomForOutput() const
{
    const token_count most = m_request.facts.outputTokenLimit;
    if (!m_request.facts.expectedOutputTokens) {
        return most;
    }
    const double expected = static_cast<double>(m_request.facts.expectedOutputTokens->value()) * outputMargin;
    return std::min(std::max(token_count(static_cast<std::int64_t>(expected)), leastOutputRoom), most);
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
    return prompt + roomForOutput();
}

} // namespace burdockshelf
