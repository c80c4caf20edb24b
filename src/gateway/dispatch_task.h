#pragma once

#include "forwarding/stage_control_lease.h"
#include "gateway/active_flow.h"
#include "gateway/dispatch_outbox.h"
#include "gateway/fleet_state.h"
#include "gateway/flow_deadlines.h"
#include "gateway/gateway_messages.h"
#include "gateway/request_log.h"
#include "gateway/shutdown_schedule.h"
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
    /// Unset where versions are not rolled out by order.
    std::optional<rollout_settings> rollouts;
    /// Time from the start of the shutdown until the process is killed.
    std::chrono::milliseconds gracePeriod {8000};
    bool pacesAllServices = false;
};

/// Admits requests under the plan in force, runs their flows and sends the flows' actions to the tasks that own the sockets. Owns this
/// instance's view of the plan, the endpoints and the other instances.
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

    /// An admitted request that waits for its quota, or for the origin of the stream that it resumes. Its deadline is in m_deadlines, as
    /// for requests in progress.
    struct waiting_request
    {
        http_request original;
        memory_charge memory;
        admission_decision admission;
    };

    /// What follows from the plan and the instance count and still has to be delivered to the other tasks.
    struct unpublished_changes
    {
        bool callerLimits = false;
        bool quotas = false;
        bool quotaInstances = false;
        bool storeInstances = false;
        bool connectionLimits = false;
    };

    void handle(dispatch_message &&message) override;
    void apply(request_arrived &&arrived);
    void apply(const flow_caller_disconnected &disconnected);
    void apply(attempt_response_head &&head);
    void apply(const attempt_body_data &data);
    void apply(attempt_ended &&ended);
    void apply(const endpoint_notice_received &received);
    void apply(const topic_snapshot &snapshot);
    void apply(const topic_update &change);
    void apply(const store_reachability &change);
    void apply(const store_contact &contact);
    void apply(const rollout_status_written &written);
    void apply(versions_recorded &&recorded);
    void apply(stream_found &&found);
    void apply(const assignment_confirmed &confirmed);
    void apply(const quota_response &quotaResponse);
    void apply(const shutdown_begun &begun);

    /// Charges the request to the quota of its workspace, if it has one, and begins it.
    void charge(flow_id flow, waiting_request &&request);
    /// Finds the origin of the stream that the request resumes.
    void resume(flow_id flow, waiting_request &&request);
    /// Begins a request that resumes a stream, or refuses it if nothing is left of the origin.
    void resumeAt(flow_id flow, waiting_request &&request, const stream_origin &origin, std::string_view source);
    /// Refuses a request whose stream cannot go on; it has not run.
    void refuseResumption(flow_id flow, admission_decision &decision, refusal_cause cause);
    void begin(flow_id flow, http_request &&original, memory_charge &&memory, admitted_request &&admitted);
    void refuse(flow_id flow, const admission_decision &decision, const forward_facts &facts);
    /// Refuses an admitted request for which the quota broker gives no decision; it has not run.
    void refuseWithoutQuota(flow_id flow, admission_decision &decision);
    void returnQuota(const quota_grant &grant);
    /// Notifies the other tasks of a new plan or a changed instance count, and updates the readiness.
    void publishChanges();
    /// Sends what follows from the plan and the instance count and has not been delivered yet.
    void publishPlan();
    void removeOverdueRegistrations();
    /// Returns whether the limits were delivered, or the plan sets none.
    bool publishConnectionLimits();
    void carryOut(active_flow &flow, flow_actions &&actions);
    void perform(active_flow &flow, start_attempt &&action);
    void perform(active_flow &flow, const cancel_flow_attempt &action);
    void perform(active_flow &flow, const release_handle &action);
    void perform(active_flow &flow, const release_reservation &action);
    void perform(active_flow &flow, const report_failed_reservations &action);
    void perform(active_flow &flow, const fix_origin &action);
    void perform(active_flow &flow, const relay_response_head &action);
    void perform(active_flow &flow, relay_body_data &&action);
    void perform(active_flow &flow, const relay_response_end &action);
    void perform(active_flow &flow, const relay_full_response &action);
    void perform(active_flow &flow, const refuse_request &action);
    void perform(active_flow &flow, const abort_response &action);
    void finishOrReschedule(active_flow &flow);
    void recordFailure(active_flow &flow, const start_attempt &sent, const attempt_ended &ended);
    static void recordFirstByte(active_flow &flow, attempt_number number);
    static void recordOutcome(active_flow &flow, std::string_view outcome, int status);
    active_flow *find(flow_id flow);
    std::optional<std::string> decodeHandle(attempt_kind attemptKind, const attempt_ended &ended) const;
    /// Outstanding tokens of this instance's requests at an endpoint, for the log.
    token_count ownTokensAt(const endpoint_id &endpoint) const;
    void handleDeadline(flow_id flow);
    void reportState();
    void publishEngines();
    /// Logs changes of the quarantine and tells the other instances of crashes.
    void publishQuarantine();
    /// Logs and counts the endpoints that got rid of a restriction, and tells the stage control.
    void publishLiftedRestrictions();
    /// Makes the rounds due of the searches to which freed capacity was offered.
    void wakeSearches();
    /// Counts the result of a reservation by the request's priority.
    void recordReservation(const active_flow &flow, const attempt_ended &ended, bool isGranted);
    /// Sends a call that releases something at an endpoint, unless the endpoint is pausing.
    void release(const endpoint_id &endpoint, const socket_address &heldAt, http_request call);
    /// Tells version_task which versions the endpoints of services with resumable streams have.
    void publishVersions();
    /// Records the open streams while versions are mixed, so that other instances can find their origins.
    void publishOpenStreams();
    void endStream(const forward_facts &facts);
    /// Notes that the versions of the services with resumable streams are recorded, or have been awaited for long enough after the start.
    void noteRecordedVersions(instant now);
    /// False until the fleet is known and the versions were recorded or awaited.
    bool hasInitialState() const;
    void updateReadiness();
    /// Judges the rollouts, shares the evidence and, as the holder, decides.
    void reviewRollouts();
    void countInProgressAtOld();
    void publishRolloutReports();
    void followRollouts();
    bool hasUnwrittenStatus() const;
    void decideRollouts();
    void writeRolloutStatus(const service_rollout &rollout);
    void writeRolloutDecision(rollout_decision decided);
    void logRolloutDecision(const rollout_decision &next);
    void logRolloutFinding(const service_id &service, const rollout_finding &finding);
    void setRolloutGauges();
    flow_context context();

    dispatch_settings m_settings;
    gateway_dialects m_dialects;
    dispatch_outbox m_outbox;
    event_log m_log;
    random_source m_random;
    request_log m_requests;
    fleet_state m_fleet;
    plan_version m_knownPlan;
    std::int64_t m_knownInstanceCount = 1;
    unpublished_changes m_unpublished;
    service_retry_budget m_retryBudget;
    route_durations m_durations;
    capacity_sharing m_sharing;
    std::int64_t m_memberReportSequence = 0;
    deadline m_memberReportDue;
    std::int64_t m_crashReportSequence = 0;
    std::map<flow_id, waiting_request> m_awaitingQuota;
    std::map<flow_id, waiting_request> m_awaitingOrigin;
    stream_origins m_streams;
    /// The versions that may begin streams.
    service_versions m_recordedVersions;
    service_versions m_publishedVersions;
    /// Whether the wait for recorded versions after the start has ended. A service that is added later holds up its own streams only.
    bool m_haveVersionsBeenAwaited = false;
    deadline m_versionsAwaitedUntil = deadline::never();
    timer m_openStreamsTimer;
    /// State of m_streams when it was last recorded; unset when nothing is recorded.
    std::optional<std::uint64_t> m_recordedStreams;
    active_flows m_flows;
    flow_deadlines m_deadlines;
    timer m_reportTimer;
    timer m_overdueTimer;
    /// Whether this instance decides about rollouts.
    stage_control_lease m_rolloutLease;
    bool m_isFollowingRollouts = false;
    std::vector<rollout_report> m_publishedReports;
    deadline m_rolloutReportDue;
    /// The newest states that this instance has written for the operator.
    std::map<service_id, std::pair<rollout_number, rollout_state>> m_rolloutStatus;
    bool m_isReady = false;
    shutdown_schedule m_shutdown;
    bool m_isShuttingDown = false;
};

} // namespace burdockshelf
