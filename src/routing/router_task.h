#pragma once

#include "core/random_source.h"
#include "policy/endpoint_directory.h"
#include "policy/placement.h"
#include "policy/service_queues.h"
#include "routing/active_request.h"
#include "routing/router_metrics.h"
#include "routing/router_settings.h"
#include "routing/routing_messages.h"
#include "routing/status_messages.h"
#include "routing/status_reporter.h"
#include "runtime/outbox.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <map>
#include <memory>
#include <optional>

namespace burdockshelf
{

/// The sinks that router_task posts to.
struct router_task_sinks
{
    sink<charge_request> charges;
    sink<charge_settlement> settlements;
    sink<slot_request> slots;
    sink<slot_release> slotReleases;
    sink<claim_request> claims;
    sink<claim_end> claimEnds;
    sink<endpoint_envelope> endpoints;
    sink<queues_report> queueReports;
    sink<metric_batch> metrics;
};

/// Drives every accepted request from its arrival to its end: passes events to the request machines and executes the actions that they
/// return, but makes no decisions itself. Owns the requests and the admission queues.
class router_task : public task<router_task_message>
{
public:
    router_task(event_loop &loop,
                std::shared_ptr<mailbox<router_task_message>> box,
                router_settings settings,
                router_task_sinks sinks,
                random_source random);

    outcome<void> start() override;
    /// Finishes once the last request has ended.
    void beginShutdown() override;

protected:
    void handle(router_task_message &&message) override;

private:
    void receive(view_changed &&changed);
    void receive(caller_request &&call);
    void receive(caller_disconnected &&disconnected);
    void receive(charge_response &&response);
    void receive(slot_decision &&decision);
    void receive(claim_decision &&decision);
    void receive(prefill_done &&done);
    void receive(decode_event &&event);
    void receive(decode_done &&done);
    void receive(plain_done &&done);
    void receive(attempt_failed &&failed);

    outcome<active_request> makeRequest(caller_request &&call) const;
    outcome<service_id> findService(const caller_request &call) const;
    void refuseUnaccepted(const caller_request &call, const error &cause);
    event_context contextOf(const active_request &active) const;
    active_request *find(const request_id &request);
    active_request *findByAttempt(const attempt_id &attempt);

    void executeActions(const request_id &request, request_actions actions);
    request_actions executeAction(active_request &active, const charge_action &action);
    request_actions executeAction(active_request &active, const settle_action &action);
    request_actions executeAction(active_request &active, const claim_action &action);
    request_actions executeAction(active_request &active, const end_claim_action &action);
    request_actions executeAction(active_request &active, const enqueue_action &action);
    request_actions executeAction(active_request &active, const dequeue_action &action);
    request_actions executeAction(active_request &active, const note_dispatch_action &action);
    request_actions executeAction(active_request &active, const list_candidates_action &action);
    request_actions executeAction(active_request &active, const request_slot_action &action);
    request_actions executeAction(active_request &active, const release_slot_action &action);
    request_actions executeAction(active_request &active, const prefill_action &action);
    request_actions executeAction(active_request &active, const decode_action &action);
    request_actions executeAction(active_request &active, const resume_action &action);
    request_actions executeAction(active_request &active, const plain_call_action &action);
    request_actions executeAction(active_request &active, const cancel_attempt_action &action);
    request_actions executeAction(active_request &active, const abort_at_engine_action &action);
    request_actions executeAction(active_request &active, const release_kv_action &action);
    request_actions executeAction(active_request &active, const note_failure_action &action);
    request_actions executeAction(active_request &active, const start_response_action &action);
    request_actions executeAction(active_request &active, const relay_event_action &action);
    request_actions executeAction(active_request &active, const finish_response_action &action);
    request_actions executeAction(active_request &active, const relay_plain_response_action &action);
    request_actions executeAction(active_request &active, const replay_response_action &action);
    request_actions executeAction(active_request &active, const refuse_action &action);
    request_actions executeAction(active_request &active, const finished_action &action);

    request_actions
    startAttempt(active_request &active, const endpoint_id &endpoint, const attempt_id &attempt, endpoint_task_message message);
    model_request modelFor(const active_request &active) const;
    void answer(active_request &active, caller_response part);
    void finishReservation(active_request &active);
    void reserveForService(const service_id &service);
    void reserveForReadyServices();
    void expireQueuedRequests();
    void scheduleTimer();
    void finishWhenIdle();
    void noteDispatch(active_request &active);
    queues_report makeQueuesReport() const;
    bool report();

    router_settings m_settings;
    router_task_sinks m_sinks;
    random_source m_random;
    std::unique_ptr<placement_strategy> m_placement;
    std::shared_ptr<const queue_order> m_queueOrder;
    endpoint_directory m_directory;
    state_view_ptr m_view;
    std::map<request_id, active_request> m_requests;
    service_queues m_queues;
    outbox<charge_settlement> m_settlements;
    outbox<slot_release> m_slotReleases;
    outbox<claim_end> m_claimEnds;
    outbox<endpoint_envelope> m_cancellations;
    router_metrics m_metrics;
    std::optional<queues_report> m_reportedQueues;
    status_reporter m_reporter;
    timer m_timer;
    bool m_isShuttingDown = false;
    bool m_isFinished = false;
};

} // namespace burdockshelf
