#include "gateway/dispatch_task.h"

#include "gateway/crash_report_codec.h"
#include "gateway/member_codec.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// How often metrics are sent and the instance count, on which the shares depend, is refreshed. Reports to the other instances are rarer.
constexpr milliseconds stateReportInterval {1000};
// The quota broker responds within 100 ms, so a response that takes longer than this has been lost.
constexpr milliseconds quotaResponseTimeout {500};
constexpr milliseconds retryAfterMissingQuota {120};
// A new holder of stage control decides about rollouts once the writes of the one before have ended.
constexpr milliseconds rolloutHandoverInterval {500};
constexpr int firstErrorStatus = 400;

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
    , m_outbox(std::move(to), log)
    , m_log(std::move(log))
    , m_random(random)
    , m_requests(m_log)
    , m_fleet({.self = m_settings.instance,
               .dataCentre = m_settings.dataCentre,
               .cold = m_settings.cold,
               .pacesAllServices = m_settings.pacesAllServices,
               .rollouts = m_settings.rollouts},
              m_settings.entries,
              dialects.records,
              m_log)
    , m_retryBudget(m_settings.retryBudget)
    , m_openStreamsTimer(loop, [this] { publishOpenStreams(); })
    , m_deadlines(
          loop, [this](flow_id due) { handleDeadline(due); }, m_log)
    , m_reportTimer(loop, [this] { reportState(); })
    , m_overdueTimer(loop, [this] { removeOverdueRegistrations(); })
    , m_rolloutLease(rolloutHandoverInterval)
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
    publishQuarantine();
    wakeSearches();
}

void dispatch_task::apply(request_arrived &&arrived)
{
    const forward_facts facts = m_dialects.callers.decodeRequestFacts(arrived.request, arrived.arrived);
    if (arrived.hasCallerDisconnected) {
        m_requests.writeDropped(facts, "the caller disconnected before the request was read");
        m_outbox.count("requests_total", "outcome", "dropped");
        return;
    }
    const admission_inputs inputs = {m_fleet.plan(),
                                     hasInitialState(),
                                     m_shutdown.finishRequestsBy,
                                     m_shutdown.estimateStreamsUntil,
                                     &m_durations,
                                     &m_fleet.quarantine()};
    admission_decision decided = decideAdmission(facts, arrived.arrived, inputs, boot_clock::now());
    if (!decided.request) {
        refuse(arrived.flow, decided, facts);
        return;
    }
    if (m_isShuttingDown) {
        m_requests.writeAdmittedInShutdown(decided, m_shutdown.finishRequestsBy, boot_clock::now());
    }
    const bool takesUpStream = decided.request->route->kind == request_kind::streaming && facts.resumeAfter;
    waiting_request request {std::move(arrived.request), std::move(arrived.memory), std::move(decided)};
    if (takesUpStream) {
        resume(arrived.flow, std::move(request));
    } else {
        charge(arrived.flow, std::move(request));
    }
}

void dispatch_task::charge(flow_id flow, waiting_request &&request)
{
    admission_decision &decided = request.admission;
    if (decided.limited == nullptr) {
        begin(flow, std::move(request.original), std::move(request.memory), std::move(*decided.request));
        return;
    }
    if (!m_outbox.toQuotas(quota_request {flow, decided.limited->id, decided.cost})) {
        refuseWithoutQuota(flow, decided);
        return;
    }
    const instant now = boot_clock::now();
    m_deadlines.set(flow, std::min(deadline::after(now, quotaResponseTimeout), decided.request->facts.callerDeadline));
    m_awaitingQuota.emplace(flow, std::move(request));
}

void dispatch_task::refuseWithoutQuota(flow_id flow, admission_decision &decision)
{
    decision.cause = refusal_cause::overloaded;
    decision.retryAfter = retryAfterMissingQuota;
    refuse(flow, decision, decision.request->facts);
}

void dispatch_task::apply(const quota_response &quotaResponse)
{
    const auto *granted = std::get_if<quota_granted>(&quotaResponse.verdict);
    auto waiting = m_awaitingQuota.extract(quotaResponse.flow);
    if (waiting.empty()) {
        // The caller has disconnected in the meantime, or the response is late.
        if (granted != nullptr) {
            returnQuota(granted->grant);
        }
        return;
    }
    m_deadlines.remove(quotaResponse.flow);
    waiting_request &request = waiting.mapped();
    if (granted != nullptr) {
        request.admission.request->grant = granted->grant;
        begin(quotaResponse.flow, std::move(request.original), std::move(request.memory), std::move(*request.admission.request));
        return;
    }
    const auto &refused = std::get<quota_refused>(quotaResponse.verdict);
    const forward_facts facts = request.admission.request->facts;
    refusal_facts refusal;
    refusal.cause = refusal_cause::over_quota;
    refusal.quotaWait = refused.retryAfter;
    const refusal_decision decided = decideRefusal(refusal, boot_clock::now());
    request.admission.cause = decided.cause;
    request.admission.retryAfter = decided.retryAfter;
    m_requests.writeOverQuota(facts, request.admission, refused, m_fleet.instanceCount());
    refuse(quotaResponse.flow, request.admission, facts);
}

void dispatch_task::begin(flow_id flow, http_request &&original, memory_charge &&memory, admitted_request &&admitted)
{
    admitted.flow = flow;
    auto created = std::make_unique<active_flow>(flow, std::move(original), std::move(memory), std::move(admitted));
    active_flow &target = *created;
    target.flow.limitDeadline(m_shutdown.finishRequestsBy);
    m_flows[flow] = std::move(created);
    carryOut(target, target.flow.begin(context(), boot_clock::now()));
}

void dispatch_task::apply(const flow_caller_disconnected &disconnected)
{
    for (auto *requests : {&m_awaitingQuota, &m_awaitingOrigin}) {
        if (const auto waiting = requests->extract(disconnected.flow)) {
            m_deadlines.remove(disconnected.flow);
            m_requests.writeDropped(waiting.mapped().admission.request->facts, "the caller disconnected before the request began");
            m_outbox.count("requests_total", "outcome", "dropped");
            return;
        }
    }
    if (active_flow *target = find(disconnected.flow)) {
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
        target->responses[head.number] = std::move(head.head);
        carryOut(*target, target->flow.onHead(head.number, context(), boot_clock::now()));
    }
}

void dispatch_task::apply(const attempt_body_data &data)
{
    if (active_flow *target = find(data.flow)) {
        carryOut(*target, target->flow.onBodyData(data.number, data.bytes, context(), boot_clock::now()));
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
        handle = decodeHandle(sent->second.attemptKind, ended);
        if (ended.end != attempt_outcome::whole || ended.response.status >= firstErrorStatus) {
            recordFailure(*target, sent->second, ended);
        }
        m_outbox.count("attempts_total", "end", attemptOutcomeName(ended.end));
        if (sent->second.attemptKind == attempt_kind::reserve) {
            recordReservation(*target, ended, handle.has_value());
        }
        if (ended.facts.load) {
            m_fleet.endpoints().noteLoad(sent->second.endpoint, *ended.facts.load, now);
        }
    }
    const response_summary summary = {ended.response.status, ended.facts.hasServerSeal, ended.hasConnectionEnded};
    if (ended.response.status != 0) {
        // The head of a stream that has not been passed on is kept.
        target->responses.try_emplace(ended.number, std::move(ended.response));
    }
    carryOut(*target, target->flow.onEnd(ended.number, ended.end, summary, handle, context(), now));
    if (active_flow *running = find(ended.flow)) {
        running->responses.erase(ended.number);
    }
}

void dispatch_task::recordFailure(active_flow &flow, const start_attempt &sent, const attempt_ended &ended)
{
    m_requests.writeFailed(flow.flow.request(), sent, ended, ownTokensAt(sent.endpoint));
    flow.end.lastFailedKind = sent.attemptKind;
    flow.end.lastFailedEndpoint = sent.endpoint;
    flow.end.lastFailure = attemptOutcomeName(ended.end);
    if (ended.response.status != 0) {
        flow.end.lastFailure += ", status " + std::to_string(ended.response.status);
    }
    if (!ended.detail.empty()) {
        flow.end.lastFailure += ", " + ended.detail;
    }
}

std::optional<std::string> dispatch_task::decodeHandle(attempt_kind attemptKind, const attempt_ended &ended) const
{
    if (ended.end != attempt_outcome::whole || ended.response.status >= firstErrorStatus) {
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

void dispatch_task::apply(const topic_snapshot &snapshot)
{
    m_fleet.reset(snapshot.topic, snapshot.records, {boot_clock::now(), snapshot.storeSilence, snapshot.isAfterRestore});
    removeOverdueRegistrations();
    publishChanges();
    reviewRollouts();
}

void dispatch_task::apply(const topic_update &change)
{
    m_fleet.change(change.topic, change.records, {boot_clock::now(), change.storeSilence});
    removeOverdueRegistrations();
    publishChanges();
    reviewRollouts();
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
    m_shutdown = shutdown_schedule(now, m_settings.gracePeriod);
    for (const auto &[id, active] : m_flows) {
        active->flow.limitDeadline(m_shutdown.finishRequestsBy);
        m_deadlines.set(id, active->flow.nextDeadline());
    }
    m_log.write(log_line("dispatch", "shutdown_begun").add("active", m_flows.size()));
    updateReadiness();
}

void dispatch_task::removeOverdueRegistrations()
{
    const deadline next = m_fleet.removeOverdueEndpoints(boot_clock::now());
    if (!next.isNever()) {
        m_overdueTimer.start(next);
    }
}

void dispatch_task::refuse(flow_id flow, const admission_decision &decision, const forward_facts &facts)
{
    http_response response = m_dialects.callers.refusal({decision.cause, decision.retryAfter}, facts);
    m_requests.writeRefused(facts, decision, response.status, m_fleet.planVersion());
    m_outbox.count("refusals_total", "cause", refusalCauseName(decision.cause));
    m_outbox.toCallers(caller_full_response {flow, std::move(response)});
}

void dispatch_task::returnQuota(const quota_grant &grant)
{
    m_outbox.toQuotas(quota_returned {grant});
}

active_flow *dispatch_task::find(flow_id flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : found->second.get();
}

void dispatch_task::handleDeadline(flow_id flow)
{
    if (auto waiting = m_awaitingQuota.extract(flow)) {
        refuseWithoutQuota(flow, waiting.mapped().admission);
        return;
    }
    if (auto waiting = m_awaitingOrigin.extract(flow)) {
        refuseResumption(flow, waiting.mapped().admission, refusal_cause::stream_lookup_failed);
        return;
    }
    if (active_flow *target = find(flow)) {
        carryOut(*target, target->flow.onDeadline(context(), boot_clock::now()));
    }
    wakeSearches();
}

void dispatch_task::reportState()
{
    const instant now = boot_clock::now();
    m_reportTimer.start(deadline::after(now, stateReportInterval));
    m_requests.beginPeriod();
    m_fleet.refreshInstanceCount(now);
    m_fleet.quarantine().review(now);
    publishQuarantine();
    publishChanges();
    if (m_memberReportDue.hasPassed(now)) {
        m_memberReportDue = deadline::after(now, memberReportInterval(m_fleet.instanceCount()));
        const member_report report = {m_settings.incarnation, ++m_memberReportSequence, m_fleet.endpoints().takeSeenSpeeds()};
        m_outbox.toStore(publish_member_report {encodeMemberReport(report)});
    }
    publishEngines();
    reviewRollouts();
    m_streams.removeExpired(now);
    m_outbox.setGauge("endpoints", static_cast<double>(m_fleet.endpoints().size()));
    m_outbox.setGauge("paced_endpoints", static_cast<double>(m_fleet.endpoints().pacedEndpoints()));
    const speed_counts speeds = m_fleet.endpoints().countBySpeed(now);
    m_outbox.setGauge("endpoints_by_speed", "class", "usual", static_cast<double>(speeds.usual));
    m_outbox.setGauge("endpoints_by_speed", "class", "disturbed", static_cast<double>(speeds.disturbed));
    m_outbox.setGauge("endpoints_by_speed", "class", "slow", static_cast<double>(speeds.slow));
    m_outbox.setGauge("spilled_services", static_cast<double>(m_fleet.endpoints().countSpilling()));
    m_outbox.setGauge("instances", static_cast<double>(m_fleet.instanceCount()));
    m_outbox.setGauge("active_requests", static_cast<double>(m_flows.size()));
    m_outbox.setGauge("reservation_queue_length_first_priority", static_cast<double>(m_sharing.waiting(true)));
    m_outbox.setGauge("reservation_queue_length_later_priorities", static_cast<double>(m_sharing.waiting(false)));
    m_outbox.setGauge("requests_awaiting_quota", static_cast<double>(m_awaitingQuota.size()));
    m_outbox.setGauge("requests_awaiting_origin", static_cast<double>(m_awaitingOrigin.size()));
    m_outbox.measureCallerMemory();
    m_outbox.sendMetrics();
}

void dispatch_task::publishEngines()
{
    engines_listed listed;
    m_fleet.endpoints().forEach([&](const endpoint_state &known) {
        if (known.entry.stage) {
            listed.engines.push_back(snapshotOf(known.entry, m_fleet.endpoints().availability(known.entry.id, boot_clock::now())));
        }
    });
    m_outbox.toStageControl(std::move(listed));
}

void dispatch_task::publishQuarantine()
{
    prompt_quarantine &quarantine = m_fleet.quarantine();
    if (!quarantine.takeReportChanged()) {
        return;
    }
    m_fleet.logQuarantineChanges();
    crash_report report = quarantine.report();
    report.writer = m_settings.incarnation;
    report.sequence = ++m_crashReportSequence;
    m_outbox.toStore(publish_crash_report {encodeCrashReport(report, boot_clock::now(), unixTime())});
    m_outbox.setGauge("quarantined_prompt_parts", static_cast<double>(quarantine.report().quarantined.size()));
}

void dispatch_task::updateReadiness()
{
    noteRecordedVersions(boot_clock::now());
    const bool isReady = hasInitialState() && !m_isShuttingDown;
    if (isReady == m_isReady) {
        return;
    }
    m_isReady = isReady;
    const std::string reason = m_isShuttingDown
        ? "shutting down"
        : (m_fleet.plan() ? "no endpoints, or reports of other instances not read yet" : "no configuration");
    m_log.write(log_line("dispatch", isReady ? "ready" : "not_ready")
                    .add("plan", m_fleet.planVersion())
                    .add("endpoints", m_fleet.endpoints().size())
                    .add("reason", isReady ? "" : reason));
    m_outbox.reportReadiness({isReady, isReady ? "" : reason});
}

flow_context dispatch_task::context()
{
    return {m_fleet.endpoints(), m_retryBudget, m_fleet.quarantine(), m_random, m_sharing, &m_recordedVersions};
}

} // namespace burdockshelf
