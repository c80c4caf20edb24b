#include "gateway/dispatch_task.h"

#include "gateway/member_codec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// How often metrics are handed on and shares are worked out anew.
constexpr milliseconds reportPause {1000};
// Every tenth report goes to the other instances by way of the store.
constexpr std::int64_t reportsPerMemberReport = 10;
// A part of each endpoint's connections stays free for instances that are about to come.
constexpr std::int64_t spareConnectionShares = 1;
constexpr std::size_t leastConnectionsPerEndpoint = 4;
// Parts of the grace, in percent, in which new streams and new calls are still taken. Streams last for seconds; the balancer sends new
// connections elsewhere after two.
constexpr std::int64_t streamPartOfGrace = 34;
constexpr std::int64_t callPartOfGrace = 75;
constexpr int firstFailureStatus = 400;

} // namespace

dispatch_task::dispatch_task(event_loop &loop,
                             std::shared_ptr<mailbox<dispatch_message>> box,
                             dispatch_settings settings,
                             const gateway_dialects &dialects,
                             dispatch_addresses to,
                             event_log log,
                             random_source random)
    : task(std::move(box))
    , m_settings(std::move(settings))
    , m_dialects(dialects)
    , m_links(std::move(to), log)
    , m_log(std::move(log))
    , m_random(random)
    , m_requests(m_log)
    , m_fleet({m_settings.instance, m_settings.dataCentre, m_settings.cold}, m_settings.entries, dialects.records, m_log)
    , m_repeats(m_settings.retryBudget)
    , m_deadlines(loop, [this](flow_id due) { passDeadline(due); })
    , m_report(loop, [this] { reportState(); })
    , m_lapses(loop, [this] { dropLapsedEndpoints(); })
{
}

dispatch_task::~dispatch_task() = default;

outcome<void> dispatch_task::start()
{
    reportState();
    return success();
}

void dispatch_task::handle(dispatch_message &&message)
{
    std::visit([this](auto &&typed) { apply(std::forward<decltype(typed)>(typed)); }, std::move(message));
}

void dispatch_task::apply(request_arrived &&arrived)
{
    const forward_facts facts = m_dialects.callers.decodeRequestFacts(arrived.request, arrived.arrived);
    if (arrived.hasCallerDisconnected) {
        m_requests.writeDropped(facts, "its caller left before it was read");
        m_links.count("requests_total", "outcome", "dropped");
        return;
    }
    const admission_inputs inputs = {m_fleet.plan(), m_fleet.hasInitialState(), m_streamsUntil, m_callsUntil};
    admission_decision decided = decideAdmission(facts, arrived.arrived, inputs, boot_clock::now());
    if (!decided.request) {
        refuse(arrived.flow, decided, facts);
        return;
    }
    if (decided.limited == nullptr) {
        begin(arrived.flow, std::move(arrived.request), std::move(*decided.request));
        return;
    }
    m_links.toQuotas(quota_request {arrived.flow, decided.limited->id, decided.cost});
    m_awaitingQuota.emplace(arrived.flow, awaiting_quota {std::move(arrived.request), std::move(decided)});
}

void dispatch_task::apply(const quota_response &answered)
{
    const auto *granted = std::get_if<quota_granted>(&answered.verdict);
    auto waiting = m_awaitingQuota.extract(answered.flow);
    if (waiting.empty()) {
        // The caller has left meanwhile.
        if (granted != nullptr) {
            returnQuota(granted->grant);
        }
        return;
    }
    awaiting_quota &request = waiting.mapped();
    if (granted != nullptr) {
        request.admission.request->grant = granted->grant;
        begin(answered.flow, std::move(request.original), std::move(*request.admission.request));
        return;
    }
    const auto &refused = std::get<quota_refused>(answered.verdict);
    const forward_facts facts = request.admission.request->facts;
    request.admission.cause = refusal_cause::over_quota;
    request.admission.retryAfter = refused.retryAfter;
    m_requests.writeOverQuota(facts, request.admission, refused, m_fleet.instanceCount());
    refuse(answered.flow, request.admission, facts);
}

void dispatch_task::begin(flow_id flow, http_request &&original, admitted_request &&admitted)
{
    auto fresh = std::make_unique<active_flow>(flow, std::move(original), std::move(admitted));
    active_flow &target = *fresh;
    m_flows[flow] = std::move(fresh);
    carryOut(target, target.flow.begin(context(), boot_clock::now()));
}

void dispatch_task::apply(const flow_caller_disconnected &gone)
{
    if (const auto waiting = m_awaitingQuota.extract(gone.flow)) {
        m_requests.writeDropped(waiting.mapped().admission.request->facts, "its caller left before its quota was granted");
        m_links.count("requests_total", "outcome", "dropped");
        return;
    }
    if (active_flow *target = find(gone.flow)) {
        if (!target->flow.hasFinalResponse()) {
            target->end.outcome = "caller_gone";
        }
        target->isCallerDisconnected = true;
        carryOut(*target, target->flow.onCallerDisconnected(context(), boot_clock::now()));
    }
}

void dispatch_task::apply(attempt_response_head &&head)
{
    if (active_flow *target = find(head.flow)) {
        const auto sent = target->sent.find(head.number);
        if (head.facts.load && sent != target->sent.end()) {
            m_fleet.endpoints().noteLoad(sent->second.endpoint, *head.facts.load, boot_clock::now());
        }
        target->answers[head.number] = std::move(head.head);
        carryOut(*target, target->flow.onHead(head.number, context(), boot_clock::now()));
    }
}

void dispatch_task::apply(const attempt_body_data &piece)
{
    if (active_flow *target = find(piece.flow)) {
        carryOut(*target, target->flow.onBodyData(piece.number, piece.bytes, context(), boot_clock::now()));
    }
}

void dispatch_task::apply(attempt_ended &&ended)
{
    active_flow *target = find(ended.flow);
    if (target == nullptr) {
        return;
    }
    const instant now = boot_clock::now();
    const auto sent = target->sent.find(ended.number);
    std::optional<std::string> handle;
    if (sent != target->sent.end()) {
        handle = readHandle(sent->second.attemptKind, ended);
        if (ended.end != attempt_outcome::whole || ended.response.status >= firstFailureStatus) {
            noteFailure(*target, sent->second, ended);
        }
        m_links.count("attempts_total", "end", attemptOutcomeName(ended.end));
        if (ended.facts.load) {
            m_fleet.endpoints().noteLoad(sent->second.endpoint, *ended.facts.load, now);
        }
    }
    const response_summary summary = {ended.response.status, ended.facts.hasServerSeal};
    if (ended.response.status != 0) {
        target->answers[ended.number] = std::move(ended.response);
    }
    carryOut(*target, target->flow.onEnd(ended.number, ended.end, summary, handle, context(), now));
}

void dispatch_task::noteFailure(active_flow &flow, const start_attempt &sent, const attempt_ended &ended)
{
    m_requests.writeFailed(flow.flow.request(), sent, ended, ownTokensAt(sent.endpoint));
    flow.end.lastFailedDuty = sent.attemptKind;
    flow.end.lastFailedEndpoint = sent.endpoint;
    flow.end.lastFailure = attemptOutcomeName(ended.end);
    if (ended.response.status != 0) {
        flow.end.lastFailure += ", status " + std::to_string(ended.response.status);
    }
    if (!ended.detail.empty()) {
        flow.end.lastFailure += ", " + ended.detail;
    }
}

std::optional<std::string> dispatch_task::readHandle(attempt_kind attemptKind, const attempt_ended &ended) const
{
    if (ended.end != attempt_outcome::whole || ended.response.status >= firstFailureStatus) {
        return std::nullopt;
    }
    switch (attemptKind) {
    case attempt_kind::reserve:
        return m_dialects.endpoints.decodeReservation(ended.response.body);
    case attempt_kind::prefill:
        return m_dialects.endpoints.decodePromptHandle(ended.response.body);
    case attempt_kind::plain_call:
    case attempt_kind::decode:
        break;
    }
    return std::nullopt;
}

token_count dispatch_task::ownTokensAt(const endpoint_id &endpoint) const
{
    const endpoint_state *known = m_fleet.endpoints().find(endpoint);
    return known == nullptr ? token_count() : known->outstandingTokens;
}

void dispatch_task::apply(const topic_snapshot &reset)
{
    m_fleet.reset(reset.topic, reset.records, {boot_clock::now(), reset.storeSilence});
    dropLapsedEndpoints();
    announceChanges();
}

void dispatch_task::apply(const topic_update &change)
{
    m_fleet.change(change.topic, change.records, {boot_clock::now(), change.storeSilence});
    dropLapsedEndpoints();
    announceChanges();
}

void dispatch_task::apply(const store_reachability &change)
{
    m_log.write(log_line("dispatch", change.isReachable ? "store_regained" : "store_lost")
                    .add("plan", m_fleet.planVersion())
                    .add("endpoints", m_fleet.endpoints().size()));
}

void dispatch_task::apply(const shutdown_begun & /*begun*/)
{
    m_isShuttingDown = true;
    const instant now = boot_clock::now();
    m_streamsUntil = deadline::after(now, m_settings.grace * streamPartOfGrace / 100);
    m_callsUntil = deadline::after(now, m_settings.grace * callPartOfGrace / 100);
    m_log.write(log_line("dispatch", "shutdown_begun").add("active", m_flows.size()));
    updateReadiness();
}

void dispatch_task::dropLapsedEndpoints()
{
    const deadline next = m_fleet.removeOverdueEndpoints(boot_clock::now());
    if (!next.isNever()) {
        m_lapses.start(next);
    }
}

void dispatch_task::announceChanges()
{
    const bool isPlanNew = std::exchange(m_announcedPlan, m_fleet.planVersion()) != m_fleet.planVersion();
    const bool isCountNew = std::exchange(m_announcedCount, m_fleet.instanceCount()) != m_fleet.instanceCount();
    if (isPlanNew) {
        m_links.toCallers(limits_changed {m_fleet.plan()->plan().limits});
        m_links.toQuotas(quotas_changed {m_fleet.plan()});
    }
    if (isCountNew) {
        m_repeats.setInstanceCount(m_fleet.instanceCount());
        m_links.toQuotas(instance_count_changed {m_fleet.instanceCount()});
        m_links.toStore(instance_count_changed {m_fleet.instanceCount()});
    }
    if (isPlanNew || isCountNew) {
        announceConnectionBounds();
    }
    updateReadiness();
}

void dispatch_task::announceConnectionBounds()
{
    if (!m_fleet.plan()) {
        return;
    }
    std::int64_t mostConnections = 0;
    for (const traffic_service &service : m_fleet.plan()->plan().services) {
        mostConnections = std::max(mostConnections, service.maxConnections);
    }
    if (mostConnections > 0) {
        const auto share = static_cast<std::size_t>(mostConnections / (m_fleet.instanceCount() + spareConnectionShares));
        m_links.toEndpoints(connection_bounds {std::max(share, leastConnectionsPerEndpoint)});
    }
}

void dispatch_task::refuse(flow_id flow, const admission_decision &decision, const forward_facts &facts)
{
    http_response response = m_dialects.callers.refusal({decision.cause, decision.retryAfter}, facts);
    m_requests.writeRefused(facts, decision, response.status, m_fleet.planVersion());
    m_links.count("refusals_total", "cause", refusalCauseName(decision.cause));
    m_links.toCallers(caller_full_response {flow, std::move(response)});
}

void dispatch_task::returnQuota(const quota_grant &grant)
{
    m_links.toQuotas(quota_returned {grant});
}

void dispatch_task::carryOut(active_flow &flow, flow_actions &&actions)
{
    for (flow_action &action : actions) {
        std::visit([&](auto &&typed) { perform(flow, std::forward<decltype(typed)>(typed)); }, std::move(action));
    }
    settle(flow);
}

void dispatch_task::perform(active_flow &flow, start_attempt &&action)
{
    const admitted_request &request = flow.flow.request();
    open_attempt order;
    order.flow = flow.id;
    order.number = action.number;
    order.address = action.address;
    order.expected = request.facts.id;
    order.isStreamed = action.isStreamed;
    order.needsProof = executesRequest(action.attemptKind);
    order.isRetryable = request.route->kind == request_kind::idempotent || !executesRequest(action.attemptKind);
    order.request = action.attemptKind == attempt_kind::reserve
        ? m_dialects.endpoints.reserve(action)
        : m_dialects.endpoints.forward(flow.original, request, action, boot_clock::now());
    m_requests.writeSent(request, action, m_fleet.endpoints().find(action.endpoint), boot_clock::now());
    flow.sent[action.number] = std::move(action);
    m_links.toEndpoints(std::move(order));
}

void dispatch_task::perform(active_flow &flow, const cancel_flow_attempt &action)
{
    const auto sent = flow.sent.find(action.number);
    const endpoint_id endpoint = sent == flow.sent.end() ? endpoint_id() : sent->second.endpoint;
    m_requests.writeCancelled(flow.flow.request(), action.number, endpoint, flow.isCallerDisconnected);
    m_links.toEndpoints(close_attempt {flow.id, action.number});
}

void dispatch_task::perform(active_flow & /*flow*/, const release_handle &action)
{
    m_links.toEndpoints(call_and_forget {action.handle.address, m_dialects.endpoints.releaseHandle(action.handle.handle)});
}

void dispatch_task::perform(active_flow & /*flow*/, const release_reservation &action)
{
    m_links.toEndpoints(call_and_forget {action.capacityReservation.address,
                                         m_dialects.endpoints.releaseReservation(action.capacityReservation.reservation)});
}

void dispatch_task::perform(active_flow &flow, const report_failed_reservations &action)
{
    m_requests.writeFailedReservations(flow.flow.request(), action, boot_clock::now());
}

void dispatch_task::perform(active_flow &flow, const relay_response_head &action)
{
    noteFirstByte(flow, action.number);
    flow.end.status = flow.answers[action.number].status;
    m_links.toCallers(caller_response_head {flow.id, flow.answers[action.number]});
}

void dispatch_task::noteFirstByte(active_flow &flow, attempt_number number)
{
    flow.lastPieceAt = boot_clock::now();
    flow.end.firstByteAfter = flow.lastPieceAt - flow.flow.request().arrived;
    flow.end.answeredBy = flow.sent[number].endpoint;
}

void dispatch_task::perform(active_flow &flow, relay_body_data &&action)
{
    const instant before = std::exchange(flow.lastPieceAt, boot_clock::now());
    flow.end.longestPause = std::max(flow.end.longestPause, flow.lastPieceAt - before);
    m_links.toCallers(caller_body_data {flow.id, std::move(action.bytes)});
}

void dispatch_task::perform(active_flow &flow, const relay_response_end & /*action*/)
{
    m_links.toCallers(caller_response_end {flow.id});
    noteOutcome(flow, "answered", flow.end.status);
}

void dispatch_task::perform(active_flow &flow, const relay_full_response &action)
{
    noteFirstByte(flow, action.number);
    http_response response = std::move(flow.answers[action.number]);
    const int status = response.status;
    m_links.toCallers(caller_full_response {flow.id, std::move(response)});
    noteOutcome(flow, "answered", status);
}

void dispatch_task::perform(active_flow &flow, const refuse_request &action)
{
    const admitted_request &request = flow.flow.request();
    if (action.isNotExecuted && request.grant) {
        returnQuota(*request.grant);
    }
    http_response response = m_dialects.callers.refusal({action.cause, action.retryAfter}, request.facts);
    const int status = response.status;
    m_links.toCallers(caller_full_response {flow.id, std::move(response)});
    m_links.count("refusals_total", "cause", refusalCauseName(action.cause));
    noteOutcome(flow, refusalCauseName(action.cause), status);
}

void dispatch_task::perform(active_flow &flow, const abort_response & /*action*/)
{
    m_links.toCallers(caller_response_abort {flow.id});
    noteOutcome(flow, "broken_off", flow.end.status);
}

void dispatch_task::noteOutcome(active_flow &flow, std::string_view outcome, int status)
{
    flow.end.outcome = outcome;
    flow.end.status = status;
}

void dispatch_task::settle(active_flow &flow)
{
    if (flow.flow.isDone()) {
        const admitted_request &request = flow.flow.request();
        flow.end.took = boot_clock::now() - request.arrived;
        m_links.count("requests_total", "outcome", flow.end.outcome);
        m_links.noteLatency("request_seconds", "kind", requestKindName(request.route->kind), flow.end.took);
        m_requests.writeDone(request, flow.flow.attemptCount(), flow.end);
        m_deadlines.remove(flow.id);
        m_flows.erase(flow.id);
        return;
    }
    m_deadlines.set(flow.id, flow.flow.nextDeadline());
}

active_flow *dispatch_task::find(flow_id flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : found->second.get();
}

void dispatch_task::passDeadline(flow_id flow)
{
    if (active_flow *target = find(flow)) {
        carryOut(*target, target->flow.onDeadline(context(), boot_clock::now()));
    }
}

void dispatch_task::reportState()
{
    const instant now = boot_clock::now();
    m_report.start(deadline::after(now, reportPause));
    m_requests.beginPeriod();
    m_fleet.refreshInstanceCount(now);
    announceChanges();
    if (m_reportSequence++ % reportsPerMemberReport == 0) {
        const member_report report = {m_settings.incarnation, m_reportSequence};
        m_links.toStore(publish_member_report {encodeMemberReport(report)});
    }
    listEngines();
    m_links.setGauge("endpoints", static_cast<double>(m_fleet.endpoints().size()));
    m_links.setGauge("instances", static_cast<double>(m_fleet.instanceCount()));
    m_links.setGauge("active_requests", static_cast<double>(m_flows.size()));
    m_links.sendMetrics();
}

void dispatch_task::listEngines()
{
    engines_listed listed;
    m_fleet.endpoints().forEach([&](const endpoint_state &known) {
        if (known.entry.stage) {
            const bool isUsable = m_fleet.endpoints().mayReceive(known.entry.id);
            listed.engines.push_back({known.entry.id, known.entry.service, known.entry.address, *known.entry.stage, isUsable});
        }
    });
    m_links.toDuty(std::move(listed));
}

void dispatch_task::updateReadiness()
{
    const bool isReady = m_fleet.hasInitialState() && !m_isShuttingDown;
    if (isReady == m_isReady) {
        return;
    }
    m_isReady = isReady;
    const std::string reason =
        m_isShuttingDown ? "shutting down" : (m_fleet.plan() ? "no endpoints or no reports of other instances" : "no configuration");
    m_log.write(log_line("dispatch", isReady ? "ready" : "not_ready")
                    .add("plan", m_fleet.planVersion())
                    .add("endpoints", m_fleet.endpoints().size())
                    .add("reason", isReady ? "" : reason));
    m_links.reportReadiness({isReady, isReady ? "" : reason});
}

flow_context dispatch_task::context()
{
    return {m_fleet.endpoints(), m_repeats, m_random};
}

} // namespace burdockshelf
