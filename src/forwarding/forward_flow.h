#pragma once

#include "core/random_source.h"
#include "forwarding/attempt_list.h"
#include "forwarding/capacity_sharing.h"
#include "forwarding/event_splitter.h"
#include "forwarding/flow_messages.h"
#include "forwarding/prompt_quarantine.h"
#include "forwarding/quota_messages.h"
#include "forwarding/refusal_policy.h"
#include "forwarding/search_policy.h"
#include "forwarding/service_retry_budget.h"
#include "forwarding/stream_origin.h"
#include "forwarding/version_record.h"

#include <functional>

namespace burdockshelf
{

/// State that all flows of an instance share.
struct flow_context
{
    endpoint_table &endpoints;
    service_retry_budget &retryBudget;
    prompt_quarantine &quarantine;
    random_source &random;
    capacity_sharing &sharing;
    /// The versions that may begin streams which can be resumed; null where that is not limited.
    const service_versions *recordedVersions = nullptr;
};

/// A request that was admitted under a plan.
struct admitted_request
{
    flow_id flow;
    forward_facts facts;
    /// Keeps the route and the services alive while the request is in progress.
    std::shared_ptr<const plan_index> plan;
    const traffic_route *route = nullptr;
    workspace_id workspace;
    /// Tokens charged to the workspace's quota; unset when none is charged.
    std::optional<quota_grant> grant;
    std::int64_t priority = 0;
    instant arrived;
    /// Where the stream that the caller resumes began; unset for a new request.
    std::optional<stream_origin> origin;
};

/// The earlier of the deadlines that the caller and the timeout of the route set.
deadline allowedUntil(const forward_facts &facts, const traffic_route &route, instant arrived);

/// State machine of one admitted request: chooses endpoints, decides on retries and determines the response to the caller. Takes typed
/// events and returns typed actions; does no I/O and knows no encodings.
class forward_flow
{
public:
    explicit forward_flow(admitted_request request);

    flow_actions begin(const flow_context &context, instant now);
    /// The head of a streamed response has arrived.
    flow_actions onHead(attempt_number number, const flow_context &context, instant now);
    /// Bytes of a streamed response's body have arrived.
    flow_actions onBodyData(attempt_number number, std::string_view bytes, const flow_context &context, instant now);
    /// An attempt has ended. The response is set for complete responses that were not streamed; the handle is set for prefills and
    /// reservations that succeeded.
    flow_actions onEnd(attempt_number number,
                       attempt_outcome outcome,
                       const response_summary &response,
                       const std::optional<std::string> &handle,
                       const flow_context &context,
                       instant now);
    /// To be called once nextDeadline() has passed.
    flow_actions onDeadline(const flow_context &context, instant now);
    flow_actions onCallerDisconnected(const flow_context &context, instant now);
    /// Brings the request's deadline forward, so that its caller has an answer before the instance ends.
    void limitDeadline(deadline latest);

    deadline nextDeadline() const;
    /// The caller has its final response or has disconnected, and no attempt is in progress.
    bool isDone() const;
    bool hasFinalResponse() const;
    const admitted_request &request() const;
    std::int64_t attemptCount() const;

private:
    using end_handler = void (forward_flow::*)(const flow_attempt &,
                                               attempt_outcome,
                                               const response_summary &,
                                               const std::optional<std::string> &);
    using timeout_handler = void (forward_flow::*)(const flow_attempt &);

    /// Handlers for the attempts of one kind.
    struct attempt_rules
    {
        end_handler onEnd;
        timeout_handler onTimeout;
    };

    static const attempt_rules &rulesOf(attempt_kind attemptKind);

    void onPlainCallEnd(const flow_attempt &ended,
                        attempt_outcome outcome,
                        const response_summary &response,
                        const std::optional<std::string> &handle);
    void onReserveEnd(const flow_attempt &ended,
                      attempt_outcome outcome,
                      const response_summary &response,
                      const std::optional<std::string> &handle);
    void onPrefillEnd(const flow_attempt &ended,
                      attempt_outcome outcome,
                      const response_summary &response,
                      const std::optional<std::string> &handle);
    void onDecodeEnd(const flow_attempt &ended,
                     attempt_outcome outcome,
                     const response_summary &response,
                     const std::optional<std::string> &handle);
    void onPlainCallTimeout(const flow_attempt &timedOut);
    void onReserveTimeout(const flow_attempt &timedOut);
    void onPrefillTimeout(const flow_attempt &timedOut);
    void onDecodeTimeout(const flow_attempt &timedOut);

    bool mayRetry() const;
    bool hasAttemptsLeft() const;
    bool usesEngine() const;
    /// Ends the request when the deadline of the route or of the caller has passed.
    void endAtDeadline();
    void sendFirst();
    /// Starts to reserve capacity for the whole request, prompt and output: before the prompt is processed, and again before a decode is
    /// repeated.
    void startReservationSearch();
    /// Asks as the policy of the request's rank says, or refuses the request if the policy expects no capacity in time.
    void startReservationRound();
    /// The step of the policy, and what it was decided by.
    search_step planReservationRound();
    void joinReservationQueue();
    void leaveReservationQueue();
    /// The next endpoint to ask: one that was offered to this request, or else the best one.
    const endpoint_state *chooseForReservation();
    void sendNextReservation();
    void endReservationRound();
    /// Waits for the next round, or ends the search when its deadline has passed.
    void pauseReservationSearch();
    /// Cancels the silent decode and sends its replacement, for which capacity has just been reserved. Without a reservation that can be
    /// used the silent decode goes on.
    void replaceSilentDecode();
    /// Ends the search for a replacement. The decode goes on, and a replacement is searched again after the next silence.
    void keepSilentDecode();
    void stopReservationSearch();
    /// Releases the reservation of an attempt whose result is not awaited any more.
    void releaseLateReservation(const flow_attempt &ended, const std::optional<std::string> &handle);
    /// Continues once capacity is reserved, or when no reservation could be made. A silent decode is replaced or kept. Otherwise, as long
    /// as no prefill has been sent and the request cannot have been executed, sends the prefill, or refuses the request if there is no
    /// reservation. Otherwise sends the decode, with or without a reservation and the result of a prefill. A prefill that could not be sent
    /// because the connection failed does not count as sent.
    void continueAfterReservation();
    void sendPrefill();
    /// True when there is a reservation and either its decode endpoint is expected to process the prompt sooner than the prefill endpoint,
    /// or the results of prefills at the prefill endpoint are unreliable. Always false without a reservation.
    bool isPrefillFasterAtDecode(const endpoint_state &prefillEndpoint, token_count prompt) const;
    bool sendTo(const endpoint_state &chosen, attempt_kind attemptKind, std::optional<prompt_handle> source);
    void sendDecode(std::optional<prompt_handle> source);
    void sendPlain();
    /// True when the decode may be sent to the endpoint that has reserved capacity for it.
    bool isReservationUsable() const;
    /// False when no endpoint may receive the attempt.
    bool send(attempt_kind attemptKind, std::optional<prompt_handle> source);
    bool spendRetry();
    /// Decides whether the request is sent to a version that is not trusted yet.
    void chooseSide();
    bool isResumableStream() const;
    /// The versions that an attempt of this kind may be sent to: only that of the stream once an attempt that may begin it has been sent,
    /// and the recorded ones before.
    version_filter versionsFor(attempt_kind attemptKind) const;
    /// Chooses among the endpoints of the request's side; among those of the trusted versions if the other side has none.
    const endpoint_state *chooseEndpoint(attempt_kind attemptKind, const std::vector<endpoint_id> &excluded);
    /// What is left of the request goes to the trusted versions.
    void leaveCandidate();
    /// False when a further attempt would exceed the share of an untrusted version.
    bool takeExposure(const endpoint_entry &chosen, attempt_kind attemptKind);
    bool hasVersionOf(const endpoint_id &other, const endpoint_entry &chosen) const;
    /// Records that a response shows that the request has reached its service.
    void noteReached();
    void noteEnded(const flow_attempt &ended, health_verdict verdict);
    /// Ends the request if its prompt contains a quarantined part; a silent decode goes on instead. Returns whether it contains one.
    bool endIfQuarantined();
    /// Reports the loss of an endpoint that was beginning to generate this request's output.
    void recordLoss(const flow_attempt &ended, attempt_outcome outcome, const response_summary &response);
    void recordSurvival(flow_attempt &attempt);
    /// Sends another prefill if the route allows it, or else leaves the prompt to the decode endpoint. The preferred endpoint has probably
    /// processed the prompt already, because only its response is missing.
    void retryPrefill(const std::optional<endpoint_id> &preferred);
    void retryDecode(const flow_attempt &ended, attempt_outcome outcome);
    /// Refuses a request that ran nowhere, or fails it when the caller already has a part of the response.
    void refuseNotExecuted(refusal_cause cause, bool isCapacityExhausted = false);
    /// Tells the shared state that capacity has become free at the endpoint of a decode.
    void noteCapacityFreed(const flow_attempt &ended);
    void failRequest(refusal_cause cause);
    void refuse(const refusal_decision &decision);
    void cancel(const flow_attempt &target);
    /// Relays the clean end of a streamed response.
    void relayStreamEnd(attempt_number number);
    /// Cancels an attempt whose response cannot be used any further, as if its endpoint had broken it off.
    void endAsLost(attempt_number number, cancel_cause cause);
    void cancelAll();
    void releaseUnused();
    flow_actions run(const flow_context &context, instant now, const std::function<void()> &step);
    std::chrono::milliseconds responseTimeoutFor(attempt_kind attemptKind, const endpoint_id &endpoint) const;
    token_count outputReserve() const;
    token_count tokensFor(attempt_kind attemptKind) const;
    std::int64_t &counterOf(attempt_kind attemptKind);

    admitted_request m_request;
    service_id m_service;
    const traffic_service *m_profile = nullptr;
    /// Where the stream goes on; set when the first attempt that may begin it is sent, before any event of it is passed on.
    std::optional<stream_origin> m_origin;
    deadline m_deadline;
    attempt_list m_attempts;
    /// Attempts that count towards the route's maxAttempts.
    std::int64_t m_attemptsUsed = 0;
    std::int64_t m_prefillsSent = 0;
    std::int64_t m_reservesSent = 0;
    std::int64_t m_connectFailures = 0;
    /// Prefills that an engine rejected. They do not count as attempts of the route: nothing was processed, and one engine that sheds load
    /// says nothing of the others.
    std::int64_t m_rejections = 0;
    rollout_side m_side = rollout_side::trusted;
    /// Attempts at the untrusted version that were taken from its share and not sent yet.
    std::int64_t m_exposureTaken = 0;
    bool m_hasReachedService = false;
    bool m_mayHaveExecuted = false;
    bool m_isHeadRelayed = false;
    bool m_isFinal = false;
    bool m_isCallerDisconnected = false;
    event_splitter m_events;
    /// The attempt whose output m_events has.
    std::optional<attempt_number> m_outputOf;
    std::optional<prompt_handle> m_handle;
    /// The endpoint of the last prefill that returned a handle, whether or not its result was used, or whose response was lost. In the
    /// latter case the endpoint has only probably processed the prompt.
    std::optional<endpoint_id> m_lastPrefillEndpoint;
    std::optional<capacity_reservation> m_reservation;
    reservation_search m_reservationSearch;
    /// Place of the request's priority at its service; unset when all requests there have the same priority.
    std::optional<priority_rank> m_rank;
    /// The request waits in the queue of its service.
    bool m_isQueued = false;
    instant m_searchBegun;
    instant m_lastAsked;
    /// What the last round of a request with a rank was decided by.
    std::optional<search_facts> m_searchFacts;
    /// The reservation attempt whose result the search waits for. Reservations that other attempts still return are released.
    std::optional<attempt_number> m_awaitedReserve;
    /// The decode that is silent while capacity for a replacement is searched. It goes on until the replacement can be sent.
    std::optional<attempt_number> m_silentDecode;
    // Valid only while an event is being handled.
    const flow_context *m_context = nullptr;
    instant m_now;
    flow_actions m_actions;
};

} // namespace burdockshelf
