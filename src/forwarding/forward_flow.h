#pragma once

#include "core/random_source.h"
#include "forwarding/attempt_list.h"
#include "forwarding/event_splitter.h"
#include "forwarding/flow_messages.h"
#include "forwarding/quota_messages.h"
#include "forwarding/reservation_search.h"
#include "forwarding/service_retry_budget.h"

#include <functional>

namespace burdockshelf
{

/// What flows share on one instance.
struct flow_context
{
    endpoint_table &endpoints;
    service_retry_budget &retryBudget;
    random_source &random;
};

/// A request that was admitted under a plan.
struct admitted_request
{
    forward_facts facts;
    /// Keeps the route and the services alive while the request runs.
    std::shared_ptr<const plan_index> plan;
    const traffic_route *route = nullptr;
    workspace_id workspace;
    /// What the request has taken of its workspace's quota; not set when there is none.
    std::optional<quota_grant> grant;
    std::int64_t priority = 0;
    instant arrived;
};

/// The life of one admitted request: which endpoint gets it, what may be repeated, and what the caller is told. Takes typed events and
/// returns typed actions; knows neither sockets nor encodings.
class forward_flow
{
public:
    explicit forward_flow(admitted_request request);

    flow_actions begin(const flow_context &context, instant now);
    /// The head of a streamed answer.
    flow_actions onHead(attempt_number number, const flow_context &context, instant now);
    /// A piece of a streamed answer.
    flow_actions onBodyData(attempt_number number, std::string_view bytes, const flow_context &context, instant now);
    /// The end of an attempt. The answer is set for whole answers that were not streamed, the handle for prompts that were read and for
    /// room that was set aside.
    flow_actions onEnd(attempt_number number,
                       attempt_outcome end,
                       const response_summary &answer,
                       const std::optional<std::string> &handle,
                       const flow_context &context,
                       instant now);
    /// To be called once nextDeadline() has passed.
    flow_actions onDeadline(const flow_context &context, instant now);
    flow_actions onCallerDisconnected(const flow_context &context, instant now);

    deadline nextDeadline() const;
    /// The caller has its final answer, or is gone, and no attempt is left.
    bool isDone() const;
    bool hasFinalResponse() const;
    const admitted_request &request() const;
    std::int64_t attemptCount() const;

private:
    using end_handler = void (forward_flow::*)(const flow_attempt &,
                                               attempt_outcome,
                                               const response_summary &,
                                               const std::optional<std::string> &);
    using silence_handler = void (forward_flow::*)(const flow_attempt &);

    /// How attempts of one duty are dealt with.
    struct duty_rules
    {
        end_handler onEnd;
        silence_handler onSilence;
    };

    static const duty_rules &rulesOf(attempt_kind attemptKind);

    void
    finishPlain(const flow_attempt &ended, attempt_outcome end, const response_summary &answer, const std::optional<std::string> &handle);
    void
    finishReserve(const flow_attempt &ended, attempt_outcome end, const response_summary &answer, const std::optional<std::string> &handle);
    void
    finishPrefill(const flow_attempt &ended, attempt_outcome end, const response_summary &answer, const std::optional<std::string> &handle);
    void
    finishDecode(const flow_attempt &ended, attempt_outcome end, const response_summary &answer, const std::optional<std::string> &handle);
    void passPlainSilence(const flow_attempt &silent);
    void passReserveSilence(const flow_attempt &silent);
    void passPrefillSilence(const flow_attempt &silent);
    void passDecodeSilence(const flow_attempt &silent);

    bool mayRetry() const;
    bool hasAttemptsLeft() const;
    bool usesEngine() const;
    /// Ends everything once the route's time, or the caller's, is over.
    void endByTime();
    void sendFirst();
    /// Finds room for the whole request before its prompt is read.
    void beginRoomSearch();
    void findRoom();
    void waitForRoom();
    /// The room is there, or none is needed or to be had: reads the prompt, or goes on with what has been read.
    void continueWithRoom();
    void sendPrefill();
    /// The decode endpoint that has room would have read the prompt before its turn came at the reader.
    bool isReadSoonerAtDecode(const endpoint_state &reader, token_count prompt) const;
    bool sendTo(const endpoint_state &chosen, attempt_kind attemptKind, std::optional<prompt_handle> source);
    void sendDecode(std::optional<prompt_handle> source);
    void sendPlain();
    /// False when no endpoint can be had.
    bool send(attempt_kind attemptKind, std::optional<prompt_handle> source);
    bool spendRepeat();
    /// Has the prompt read once more if the route allows it, or lets the decode endpoint read it. The preferred endpoint has read it
    /// already, and only its answer is missing.
    void repeatPrefill(const std::optional<endpoint_id> &preferred);
    void repeatDecode(const flow_attempt &ended);
    void refuseNotRun(refusal_cause cause);
    void answerFailure(refusal_cause cause);
    void refuse(refusal_cause cause, std::optional<std::chrono::milliseconds> retryAfter);
    void cancel(const flow_attempt &target);
    void cancelAll();
    void releaseUnused();
    flow_actions run(const flow_context &context, instant now, const std::function<void()> &step);
    std::chrono::milliseconds silenceFor(attempt_kind attemptKind, const endpoint_id &endpoint) const;
    token_count roomForOutput() const;
    token_count tokensFor(attempt_kind attemptKind) const;
    std::int64_t &counterOf(attempt_kind attemptKind);

    admitted_request m_request;
    service_id m_service;
    const traffic_service *m_profile = nullptr;
    deadline m_until;
    attempt_list m_attempts;
    /// Endpoints that count against the route's bound.
    std::int64_t m_attemptsUsed = 0;
    std::int64_t m_prefillsSent = 0;
    std::int64_t m_reservesSent = 0;
    std::int64_t m_unsentTries = 0;
    bool m_mayHaveRun = false;
    bool m_isHeadRelayed = false;
    bool m_isFinal = false;
    bool m_isCallerDisconnected = false;
    event_splitter m_events;
    std::optional<prompt_handle> m_handle;
    /// The endpoint that has read the prompt last, whether or not its result was used.
    std::optional<endpoint_id> m_reader;
    std::optional<capacity_reservation> m_room;
    reservation_search m_roomSearch;
    // Valid while an event is handled.
    const flow_context *m_context = nullptr;
    instant m_now;
    flow_actions m_actions;
};

} // namespace burdockshelf
