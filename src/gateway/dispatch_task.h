#pragma once

#include "gateway/active_flow.h"
#include "gateway/dispatch_links.h"
#include "gateway/fleet_state.h"
#include "gateway/flow_deadlines.h"
#include "gateway/gateway_messages.h"
#include "gateway/request_log.h"
#include "logging/log_writer_task.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <map>
#include <memory>

namespace burdockshelf
{

struct dispatch_settings
{
    instance_id instance;
    incarnation_id incarnation;
    data_centre_id dataCentre;
    cold_start_tolerance cold;
    retry_limits retryBudget;
    registration_grace_settings entries;
    /// From the begin of the shutdown until the process is ended by force.
    std::chrono::milliseconds grace {8000};
};

/// Decides on every request: admits it under the plan in force, runs its flow, and carries the flow's actions to the tasks that own the
/// sockets. Owns all that this instance believes.
class dispatch_task : public task<dispatch_message>
{
public:
    dispatch_task(event_loop &loop,
                  std::shared_ptr<mailbox<dispatch_message>> box,
                  dispatch_settings settings,
                  const gateway_dialects &dialects,
                  dispatch_addresses to,
                  event_log log,
                  random_source random);
    ~dispatch_task() override;

    outcome<void> start() override;

private:
    using active_flows = std::map<flow_id, std::unique_ptr<active_flow>>;

    /// An admitted request whose quota is being asked for.
    struct awaiting_quota
    {
        http_request original;
        admission_decision admission;
    };

    void handle(dispatch_message &&message) override;
    void apply(request_arrived &&arrived);
    void apply(const flow_caller_disconnected &gone);
    void apply(attempt_response_head &&head);
    void apply(const attempt_body_data &piece);
    void apply(attempt_ended &&ended);
    void apply(const topic_snapshot &reset);
    void apply(const topic_update &change);
    void apply(const store_reachability &change);
    void apply(const quota_response &answered);
    void apply(const shutdown_begun &begun);

    void begin(flow_id flow, http_request &&original, admitted_request &&admitted);
    void refuse(flow_id flow, const admission_decision &decision, const forward_facts &facts);
    void returnQuota(const quota_grant &grant);
    /// Hands on what follows from a change of belief.
    void announceChanges();
    void dropLapsedEndpoints();
    void announceConnectionBounds();
    void carryOut(active_flow &flow, flow_actions &&actions);
    void perform(active_flow &flow, start_attempt &&action);
    void perform(active_flow &flow, const cancel_flow_attempt &action);
    void perform(active_flow &flow, const release_handle &action);
    void perform(active_flow &flow, const release_reservation &action);
    void perform(active_flow &flow, const report_failed_reservations &action);
    void perform(active_flow &flow, const relay_response_head &action);
    void perform(active_flow &flow, relay_body_data &&action);
    void perform(active_flow &flow, const relay_response_end &action);
    void perform(active_flow &flow, const relay_full_response &action);
    void perform(active_flow &flow, const refuse_request &action);
    void perform(active_flow &flow, const abort_response &action);
    void settle(active_flow &flow);
    void noteFailure(active_flow &flow, const start_attempt &sent, const attempt_ended &ended);
    static void noteFirstByte(active_flow &flow, attempt_number number);
    static void noteOutcome(active_flow &flow, std::string_view outcome, int status);
    active_flow *find(flow_id flow);
    std::optional<std::string> readHandle(attempt_kind attemptKind, const attempt_ended &ended) const;
    /// Tokens of this instance's requests at an endpoint, for the log.
    token_count ownTokensAt(const endpoint_id &endpoint) const;
    void passDeadline(flow_id flow);
    void reportState();
    void listEngines();
    void updateReadiness();
    flow_context context();

    dispatch_settings m_settings;
    gateway_dialects m_dialects;
    dispatch_links m_links;
    event_log m_log;
    random_source m_random;
    request_log m_requests;
    fleet_state m_fleet;
    plan_version m_announcedPlan;
    std::int64_t m_announcedCount = 1;
    service_retry_budget m_repeats;
    std::int64_t m_reportSequence = 0;
    std::map<flow_id, awaiting_quota> m_awaitingQuota;
    active_flows m_flows;
    flow_deadlines m_deadlines;
    timer m_report;
    timer m_lapses;
    bool m_isReady = false;
    deadline m_streamsUntil = deadline::never();
    deadline m_callsUntil = deadline::never();
    bool m_isShuttingDown = false;
};

} // namespace burdockshelf
