// What follows when an attempt ends or stays silent, by the attempt's duty.

#include "forwarding/forward_flow.h"

#include "forwarding/answer_patience.h"

#include <array>
#include <utility>

namespace burdockshelf
{

namespace
{

// Connections that may fail before the request is given up; no byte of it was sent to any of them.
constexpr std::int64_t mostUnsentTries = 4;

} // namespace

const forward_flow::duty_rules &forward_flow::rulesOf(attempt_kind attemptKind)
{
    static constexpr std::array<duty_rules, 4> rules = {
        duty_rules {&forward_flow::finishPlain, &forward_flow::passPlainSilence},
        duty_rules {&forward_flow::finishReserve, &forward_flow::passReserveSilence},
        duty_rules {&forward_flow::finishPrefill, &forward_flow::passPrefillSilence},
        duty_rules {&forward_flow::finishDecode, &forward_flow::passDecodeSilence},
    };
    return rules.at(static_cast<std::size_t>(attemptKind));
}

void forward_flow::finishPlain(const flow_attempt &ended,
                               attempt_outcome end,
                               const response_summary &answer,
                               const std::optional<std::string> & /*handle*/)
{
    if (end == attempt_outcome::whole) {
        const bool isFailure = answer.status >= firstServerErrorStatus;
        if (isFailure && mayRetry() && hasAttemptsLeft() && spendRepeat() && send(attempt_kind::plain_call, std::nullopt)) {
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
    const bool mayHaveRunThere = end == attempt_outcome::lost;
    const bool isFree = end == attempt_outcome::not_sent && m_unsentTries < mostUnsentTries;
    const bool mayGoOn = isFree || ((!mayHaveRunThere || mayRetry()) && hasAttemptsLeft() && spendRepeat());
    if (mayGoOn && send(attempt_kind::plain_call, std::nullopt)) {
        return;
    }
    if (m_mayHaveRun) {
        answerFailure(refusal_cause::endpoint_failed);
    } else {
        refuseNotRun(refusal_cause::overloaded);
    }
}

void forward_flow::finishReserve(const flow_attempt &ended,
                                 attempt_outcome end,
                                 const response_summary & /*answer*/,
                                 const std::optional<std::string> &handle)
{
    const endpoint_state *endpoint = m_context->endpoints.find(ended.endpoint);
    if (end == attempt_outcome::whole && handle && endpoint != nullptr) {
        m_room = capacity_reservation {ended.endpoint, endpoint->entry.address, *handle};
        continueWithRoom();
        return;
    }
    if (end == attempt_outcome::whole || end == attempt_outcome::rejected) {
        m_context->endpoints.noteFull(ended.endpoint, m_now);
    }
    m_roomSearch.noteFull(ended.endpoint);
    findRoom();
}

void forward_flow::finishPrefill(const flow_attempt &ended,
                                 attempt_outcome end,
                                 const response_summary & /*answer*/,
                                 const std::optional<std::string> &handle)
{
    if (end == attempt_outcome::whole && handle) {
        const endpoint_state *source = m_context->endpoints.find(ended.endpoint);
        m_reader = ended.endpoint;
        if (source != nullptr) {
            sendDecode(prompt_handle {ended.endpoint, source->entry.address, *handle});
            return;
        }
    }
    if (end == attempt_outcome::not_sent && m_unsentTries < mostUnsentTries) {
        sendPrefill();
        return;
    }
    if (end == attempt_outcome::lost) {
        m_reader = ended.endpoint;
        repeatPrefill(ended.endpoint);
        return;
    }
    if (end == attempt_outcome::rejected || end == attempt_outcome::misdirected) {
        // Unlike the first call that an endpoint takes, a refused one counts against the route's bound.
        ++m_attemptsUsed;
        if (!hasAttemptsLeft() || !spendRepeat()) {
            refuseNotRun(refusal_cause::overloaded);
            return;
        }
    }
    sendDecode(std::nullopt);
}

void forward_flow::finishDecode(const flow_attempt &ended,
                                attempt_outcome end,
                                const response_summary & /*answer*/,
                                const std::optional<std::string> & /*handle*/)
{
    if (end == attempt_outcome::whole && !ended.isAnswered) {
        // An error, which comes in one piece.
        if (mayRetry() && hasAttemptsLeft() && spendRepeat() && send(attempt_kind::decode, std::nullopt)) {
            return;
        }
        if (m_isHeadRelayed) {
            answerFailure(refusal_cause::endpoint_failed);
            return;
        }
        m_actions.emplace_back(relay_full_response {ended.number});
        m_isFinal = true;
        return;
    }
    if (end == attempt_outcome::whole && !(m_events.hasPartial() && mayRetry())) {
        if (!m_isHeadRelayed) {
            m_actions.emplace_back(relay_response_head {ended.number});
            m_isHeadRelayed = true;
        }
        std::string rest = m_events.takeRest();
        if (!rest.empty()) {
            m_actions.emplace_back(relay_body_data {std::move(rest)});
        }
        m_actions.emplace_back(relay_response_end {});
        m_isFinal = true;
        return;
    }
    if (end == attempt_outcome::rejected && m_handle) {
        // Room was set aside, so what the endpoint lacks is the prompt.
        m_context->endpoints.noteHandleLapsed(m_handle->endpoint, m_now);
    }
    repeatDecode(ended);
}

void forward_flow::repeatDecode(const flow_attempt &ended)
{
    if (m_unsentTries == 0) {
        m_handle.reset();
    }
    m_events.dropPartial();
    const bool mayGoOn = (!m_mayHaveRun || mayRetry()) && hasAttemptsLeft() && m_unsentTries < mostUnsentTries;
    const bool isFree = m_unsentTries > 0 && m_attempts.isNewest(ended.number) && m_attemptsUsed == 0;
    if (mayGoOn && (isFree || spendRepeat())) {
        beginRoomSearch();
        return;
    }
    if (m_mayHaveRun) {
        answerFailure(refusal_cause::endpoint_failed);
    } else {
        refuseNotRun(refusal_cause::overloaded);
    }
}

void forward_flow::passPlainSilence(const flow_attempt & /*silent*/)
{
    // The silent endpoint keeps its chance; the first whole answer counts.
    if (mayRetry() && hasAttemptsLeft() && spendRepeat()) {
        send(attempt_kind::plain_call, std::nullopt);
    }
}

void forward_flow::passReserveSilence(const flow_attempt &silent)
{
    cancel(silent);
    m_roomSearch.noteFull(silent.endpoint);
    findRoom();
}

void forward_flow::passPrefillSilence(const flow_attempt &silent)
{
    const endpoint_state *reader = m_context->endpoints.find(silent.endpoint);
    const bool isBusy = reader != nullptr && reader->lastAnswer > silent.sentAt && m_now - silent.sentAt < longestReadTime();
    if (isBusy) {
        if (flow_attempt *waiting = m_attempts.find(silent.number)) {
            waiting->silentAt = deadline::after(m_now, silenceFor(attempt_kind::prefill, silent.endpoint));
        }
        return;
    }
    cancel(silent);
    repeatPrefill(std::nullopt);
}

void forward_flow::repeatPrefill(const std::optional<endpoint_id> &preferred)
{
    // A further prompt counts as an attempt, and another one must be left for the answer.
    const bool mayRead = m_attemptsUsed + 1 < m_request.route->maxAttempts && spendRepeat();
    const endpoint_state *again = preferred ? m_context->endpoints.find(*preferred) : nullptr;
    const bool isAgain = again != nullptr && m_context->endpoints.mayReceive(*preferred);
    if (mayRead && (isAgain ? sendTo(*again, attempt_kind::prefill, std::nullopt) : send(attempt_kind::prefill, std::nullopt))) {
        ++m_attemptsUsed;
        return;
    }
    sendDecode(std::nullopt);
}

void forward_flow::passDecodeSilence(const flow_attempt &silent)
{
    if (!mayRetry() || !hasAttemptsLeft() || !spendRepeat()) {
        return;
    }
    // The old run is ended first, so that two endpoints never work on one stream.
    cancel(silent);
    m_mayHaveRun = true;
    m_handle.reset();
    m_events.dropPartial();
    beginRoomSearch();
}

} // namespace burdockshelf
