// Carries out the actions of flows, and records how requests end.

#include "gateway/dispatch_task.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

void dispatch_task::carryOut(active_flow &flow, flow_actions &&actions)
{
    for (flow_action &action : actions) {
        std::visit([&](auto &&typed) { perform(flow, std::forward<decltype(typed)>(typed)); }, std::move(action));
    }
    finishOrReschedule(flow);
    publishLiftedRestrictions();
}

void dispatch_task::perform(active_flow &flow, start_attempt &&action)
{
    const admitted_request &request = flow.flow.request();
    open_attempt command;
    command.flow = flow.id;
    command.number = action.number;
    command.process = {action.endpoint, action.startTime};
    command.address = action.address;
    command.isStreamed = action.isStreamed;
    command.needsServerSeal = executesRequest(action.attemptKind);
    command.maxResponse = executesRequest(action.attemptKind) ? response_limits::request : response_limits::acknowledgement;
    command.isRetryable = request.route->kind == request_kind::idempotent || !executesRequest(action.attemptKind);
    if (action.attemptKind == attempt_kind::reserve) {
        command.request = m_dialects.endpoints.reserve(action);
    } else {
        command.expected = request.facts.id;
        command.needsNewConnection = flow.hasSentRequestTo(action.address);
        command.request = m_dialects.endpoints.forward(flow.original, request, action, boot_clock::now());
        command.body = std::shared_ptr<const std::string>(flow.body, &flow.body->bytes);
    }
    m_requests.writeSent(request, action, m_fleet.endpoints().find(action.endpoint), boot_clock::now());
    attempt_ended notSent = {command.flow, command.number, attempt_outcome::not_sent, {}, {}, false, "mailbox full"};
    notSent.response.status = 0;
    flow.sent[action.number] = std::move(action);
    // If this mailbox is full as well, the attempt ends at the request's deadline.
    if (!m_outbox.toEndpoints(std::move(command)) && self().post(std::move(notSent)) != post_result::delivered) {
        m_log.write(log_line("dispatch", "message_dropped").add("receiver", "dispatcher"));
    }
}

void dispatch_task::perform(active_flow &flow, const cancel_flow_attempt &action)
{
    const auto sent = flow.sent.find(action.number);
    const endpoint_id endpoint = sent == flow.sent.end() ? endpoint_id() : sent->second.endpoint;
    m_requests.writeCancelled(flow.flow.request(), action, endpoint, flow.isCallerDisconnected);
    m_outbox.toEndpoints(close_attempt {flow.id, action.number});
}

void dispatch_task::perform(active_flow &flow, const report_failed_reservations &action)
{
    m_requests.writeFailedReservations(flow.flow.request(), action, boot_clock::now());
}

void dispatch_task::perform(active_flow &flow, const relay_response_head &action)
{
    recordFirstByte(flow, action.number);
    http_response head = flow.takeResponse(action.number);
    flow.end.status = head.status;
    m_outbox.toCallers(caller_response_head {flow.id, std::move(head)});
}

void dispatch_task::recordFirstByte(active_flow &flow, attempt_number number)
{
    flow.lastDataAt = boot_clock::now();
    flow.end.timeToFirstByte = flow.lastDataAt - flow.flow.request().arrived;
    flow.end.respondingEndpoint = flow.sent[number].endpoint;
}

void dispatch_task::perform(active_flow &flow, relay_body_data &&action)
{
    const instant before = std::exchange(flow.lastDataAt, boot_clock::now());
    flow.end.longestPause = std::max(flow.end.longestPause, flow.lastDataAt - before);
    m_outbox.toCallers(caller_body_data {flow.id, std::move(action.bytes)});
}

void dispatch_task::perform(active_flow &flow, const relay_response_end & /*action*/)
{
    m_outbox.toCallers(caller_response_end {flow.id});
    endStream(flow.flow.request().facts);
    recordOutcome(flow, "answered", flow.end.status);
}

void dispatch_task::perform(active_flow &flow, const relay_full_response &action)
{
    recordFirstByte(flow, action.number);
    http_response response = flow.takeResponse(action.number);
    const int status = response.status;
    m_outbox.toCallers(caller_full_response {flow.id, std::move(response)});
    recordOutcome(flow, "answered", status);
}

void dispatch_task::perform(active_flow &flow, const refuse_request &action)
{
    const admitted_request &request = flow.flow.request();
    if (action.isNotExecuted) {
        m_streams.end(request.facts.id);
    }
    if (action.isNotExecuted && request.grant) {
        returnQuota(*request.grant);
    }
    http_response response = m_dialects.callers.refusal({action.cause, action.retryAfter}, request.facts);
    const int status = response.status;
    m_outbox.toCallers(caller_full_response {flow.id, std::move(response)});
    m_outbox.count("refusals_total", "cause", refusalCauseName(action.cause));
    recordOutcome(flow, refusalCauseName(action.cause), status);
}

void dispatch_task::perform(active_flow &flow, const abort_response & /*action*/)
{
    m_outbox.toCallers(caller_response_abort {flow.id});
    recordOutcome(flow, "broken_off", flow.end.status);
}

void dispatch_task::recordOutcome(active_flow &flow, std::string_view outcome, int status)
{
    flow.end.outcome = outcome;
    flow.end.status = status;
}

void dispatch_task::finishOrReschedule(active_flow &flow)
{
    if (flow.flow.isDone()) {
        const admitted_request &request = flow.flow.request();
        const instant now = boot_clock::now();
        flow.end.took = now - request.arrived;
        m_durations.note(request.route->id, flow.end.took, now);
        m_outbox.count("requests_total", "outcome", flow.end.outcome);
        m_outbox.recordLatency("request_seconds", "kind", requestKindName(request.route->kind), flow.end.took);
        m_requests.writeDone(request, flow.flow.attemptCount(), flow.end);
        m_deadlines.remove(flow.id);
        m_flows.erase(flow.id);
        return;
    }
    m_deadlines.set(flow.id, flow.flow.nextDeadline());
}

void dispatch_task::wakeSearches()
{
    for (const flow_id flow : m_sharing.takeWoken()) {
        if (m_flows.contains(flow)) {
            m_deadlines.set(flow, deadline(boot_clock::now()));
        }
    }
}

void dispatch_task::recordReservation(const active_flow &flow, const attempt_ended &ended, bool isGranted)
{
    const admitted_request &request = flow.flow.request();
    const std::string priority = std::to_string(request.priority);
    if (isGranted) {
        m_outbox.count("reservations_granted_total", "priority", priority);
        m_outbox.recordLatency("reservation_wait_seconds", "priority", priority, boot_clock::now() - request.arrived);
    } else if (ended.end == attempt_outcome::whole || ended.end == attempt_outcome::rejected) {
        m_outbox.count("reservations_refused_total", "priority", priority);
    }
}

} // namespace burdockshelf
