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
// Every third report goes to the other instances by way of the store.
constexpr std::int64_t reportsPerMemberReport = 3;
// Lines per report for requests that went well, and for those that failed or were refused. What is left out is counted.
constexpr std::int64_t mostSuccessLines = 150;
constexpr std::int64_t mostFailureLines = 300;
// A part of each endpoint's connections stays free for instances that are about to come.
constexpr std::int64_t spareConnectionShares = 1;
constexpr std::size_t leastConnectionsPerEndpoint = 4;
constexpr milliseconds retryAfterStart {250};
constexpr milliseconds retryAfterShutdown {50};
// Parts of the grace, in percent, in which new streams and new calls are still taken. Streams last for seconds; the balancer sends new
// connections elsewhere after two.
constexpr std::int64_t streamPartOfGrace = 34;
constexpr std::int64_t callPartOfGrace = 75;
constexpr milliseconds longestQuotaRetry {2000};
constexpr int firstFailureStatus = 400;

std::string_view kindName(request_kind kind)
{
    static constexpr std::array<std::string_view, 3> names = {"idempotent", "non_idempotent", "streaming"};
    return names.at(static_cast<std::size_t>(kind));
}

std::string_view dutyName(endpoint_duty duty)
{
    static constexpr std::array<std::string_view, 4> names = {"plain_call", "reserve", "prefill", "decode"};
    return names.at(static_cast<std::size_t>(duty));
}

} // namespace

/// A request with what only this task needs of it.
struct dispatch_task::active_flow
{
    flow_id id;
    http_request original;
    forward_flow flow;
    /// Heads of answers that the flow has not decided on yet, and whole answers.
    std::map<attempt_number, http_response> answers;
    std::map<attempt_number, start_attempt> sent;
    instant armedFor;
    bool isArmed = false;
    bool isCallerGone = false;
    int status = 0;
    std::string_view outcome = "unfinished";
    instant answeredAt;
    endpoint_id answeredBy;
};

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
    , m_to(std::move(to))
    , m_log(std::move(log))
    , m_random(random)
    , m_endpoints(endpoint_table_settings {m_settings.dataCentre})
    , m_repeats(m_settings.repeats)
    , m_shares(m_settings.quotaSlack)
    , m_members(m_settings.instance)
    , m_deadline(loop, [this] { checkDeadlines(); })
    , m_report(loop, [this] { reportState(); })
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
    forward_facts facts = m_dialects.callers.readRequest(arrived.request, arrived.arrived);
    admission decided = admit(facts, arrived.arrived);
    if (!decided.request) {
        refuse(arrived.flow, decided.refusal, facts);
        return;
    }
    auto fresh = std::make_unique<active_flow>(active_flow {arrived.flow,
                                                            std::move(arrived.request),
                                                            forward_flow(std::move(*decided.request)),
                                                            {},
                                                            {},
                                                            {},
                                                            false,
                                                            false,
                                                            0,
                                                            "unfinished",
                                                            {},
                                                            {}});
    active_flow &target = *fresh;
    m_flows[arrived.flow] = std::move(fresh);
    carryOut(target, target.flow.begin(context(), boot_clock::now()));
}

void dispatch_task::apply(const caller_left &gone)
{
    if (active_flow *target = find(gone.flow)) {
        if (!target->flow.hasFinalAnswer()) {
            target->outcome = "caller_gone";
        }
        target->isCallerGone = true;
        carryOut(*target, target->flow.onCallerGone(context(), boot_clock::now()));
    }
}

void dispatch_task::apply(attempt_head &&head)
{
    if (active_flow *target = find(head.flow)) {
        const auto sent = target->sent.find(head.number);
        if (head.facts.load && sent != target->sent.end()) {
            m_endpoints.noteLoad(sent->second.endpoint, *head.facts.load, boot_clock::now());
        }
        target->answers[head.number] = std::move(head.head);
        carryOut(*target, target->flow.onHead(head.number, context(), boot_clock::now()));
    }
}

void dispatch_task::apply(const attempt_piece &piece)
{
    if (active_flow *target = find(piece.flow)) {
        carryOut(*target, target->flow.onPiece(piece.number, piece.bytes, context(), boot_clock::now()));
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
        handle = readHandle(sent->second.duty, ended);
        if ((ended.end != attempt_end::whole || ended.response.status >= firstFailureStatus) && mayLog(false)) {
            m_log.write(log_line("dispatch", "attempt_failed")
                            .add("request", target->flow.request().facts.id)
                            .add("attempt", ended.number)
                            .add("duty", dutyName(sent->second.duty))
                            .add("endpoint", sent->second.endpoint)
                            .add("end", attemptEndName(ended.end))
                            .add("status", ended.response.status)
                            .add("endpoint_running", ended.facts.load ? ended.facts.load->running : -1)
                            .add("endpoint_waiting", ended.facts.load ? ended.facts.load->waiting : -1)
                            .add("own_tokens_there", ownTokensAt(sent->second.endpoint))
                            .add("detail", ended.detail));
        }
        count("burdockshelf_attempts_total", "end", attemptEndName(ended.end));
        if (ended.facts.load) {
            m_endpoints.noteLoad(sent->second.endpoint, *ended.facts.load, now);
        }
    }
    const answer_summary summary = {ended.response.status, ended.facts.hasProof};
    if (ended.response.status != 0) {
        target->answers[ended.number] = std::move(ended.response);
    }
    carryOut(*target, target->flow.onEnd(ended.number, ended.end, summary, handle, context(), now));
}

std::optional<std::string> dispatch_task::readHandle(endpoint_duty duty, const attempt_ended &ended) const
{
    if (ended.end != attempt_end::whole || ended.response.status >= firstFailureStatus) {
        return std::nullopt;
    }
    switch (duty) {
    case endpoint_duty::reserve:
        return m_dialects.endpoints.readReservation(ended.response.body);
    case endpoint_duty::prefill:
        return m_dialects.endpoints.readPromptHandle(ended.response.body);
    case endpoint_duty::plain_call:
    case endpoint_duty::decode:
        break;
    }
    return std::nullopt;
}

token_count dispatch_task::ownTokensAt(const endpoint_id &endpoint) const
{
    const endpoint_state *known = m_endpoints.find(endpoint);
    return known == nullptr ? token_count() : known->outstandingTokens;
}

void dispatch_task::apply(const topic_reset &reset)
{
    (this->*handlerOf(reset.topic).reset)(reset.records);
    updateReadiness();
}

void dispatch_task::apply(const topic_changed &change)
{
    (this->*handlerOf(change.topic).change)(change.records);
    updateReadiness();
}

void dispatch_task::apply(const store_reachability &change)
{
    m_log.write(log_line("dispatch", change.isReachable ? "store_regained" : "store_lost")
                    .add("plan", m_plan ? m_plan->plan().version.value() : 0)
                    .add("endpoints", m_endpoints.size()));
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

const dispatch_task::topic_handler &dispatch_task::handlerOf(store_topic topic)
{
    static constexpr std::array<topic_handler, 3> handlers = {
        topic_handler {&dispatch_task::resetOperators, &dispatch_task::changeOperators},
        topic_handler {&dispatch_task::resetEndpoints, &dispatch_task::changeEndpoints},
        topic_handler {&dispatch_task::changeMembers, &dispatch_task::changeMembers},
    };
    return handlers.at(static_cast<std::size_t>(topic));
}

void dispatch_task::resetOperators(const std::vector<store_record> &records)
{
    std::set<data_centre_id> evacuated;
    for (const store_record &record : records) {
        takeOperatorRecord(record, evacuated);
    }
    setEvacuated(std::move(evacuated));
}

void dispatch_task::changeOperators(const std::vector<store_record> &records)
{
    std::set<data_centre_id> evacuated = m_endpoints.evacuated();
    for (const store_record &record : records) {
        takeOperatorRecord(record, evacuated);
    }
    setEvacuated(std::move(evacuated));
}

void dispatch_task::takeOperatorRecord(const store_record &record, std::set<data_centre_id> &evacuated)
{
    if (const auto dataCentre = m_dialects.records.evacuationOfKey(record.key)) {
        if (record.value) {
            evacuated.insert(*dataCentre);
        } else {
            evacuated.erase(*dataCentre);
        }
        return;
    }
    if (!record.value) {
        return;
    }
    auto decoded = m_dialects.records.decodeOperator(record.key, *record.value);
    if (!decoded) {
        m_log.write(log_line("dispatch", "record_unreadable")
                        .add("key", record.key)
                        .add("offset", record.offset)
                        .add("cause", decoded.error().message));
        return;
    }
    if (decoded.value()) {
        if (auto *plan = std::get_if<traffic_plan>(&*decoded.value())) {
            takePlan(std::move(*plan));
        }
    }
}

void dispatch_task::takePlan(traffic_plan plan)
{
    const plan_version known = m_plan ? m_plan->plan().version : plan_version();
    if (m_plan && plan.version <= known) {
        if (plan.version < known) {
            m_log.write(log_line("dispatch", "older_plan_ignored").add("plan", plan.version).add("in_force", known));
        }
        return;
    }
    const instant now = boot_clock::now();
    m_plan = std::make_shared<const plan_index>(std::move(plan));
    m_shares.setPlan(m_plan->plan(), now);
    m_log.write(log_line("dispatch", "plan_in_force")
                    .add("plan", m_plan->plan().version)
                    .add("before", known)
                    .add("routes", m_plan->plan().routes.size())
                    .add("workspaces", m_plan->plan().workspaces.size()));
    toCallers(limits_changed {m_plan->plan().limits});
    for (const auto &[id, entry] : std::exchange(m_early, {})) {
        putEndpoint(entry);
    }
    std::int64_t mostConnections = 0;
    for (const traffic_service &service : m_plan->plan().services) {
        mostConnections = std::max(mostConnections, service.maxConnections);
    }
    if (mostConnections > 0) {
        const auto share = static_cast<std::size_t>(mostConnections / (m_instanceCount + spareConnectionShares));
        toEndpoints(connection_bounds {std::max(share, leastConnectionsPerEndpoint)});
    }
}

void dispatch_task::setEvacuated(std::set<data_centre_id> evacuated)
{
    if (evacuated == m_endpoints.evacuated()) {
        return;
    }
    log_line line("dispatch", "evacuations_changed");
    line.add("count", evacuated.size());
    for (const data_centre_id &dataCentre : evacuated) {
        line.add("data_centre", dataCentre);
    }
    m_log.write(std::move(line));
    m_endpoints.setEvacuated(std::move(evacuated));
}

void dispatch_task::resetEndpoints(const std::vector<store_record> &records)
{
    std::set<endpoint_id> listed;
    for (const store_record &record : records) {
        if (record.value) {
            listed.insert(endpoint_id(record.key));
        }
    }
    std::vector<endpoint_id> gone;
    m_endpoints.forEach([&](const endpoint_state &known) {
        if (listed.count(known.entry.id) == 0) {
            gone.push_back(known.entry.id);
        }
    });
    std::erase_if(m_early, [&](const auto &entry) { return listed.count(entry.first) == 0; });
    for (const endpoint_id &endpoint : gone) {
        removeEndpoint(endpoint, "not among the newest entries");
    }
    changeEndpoints(records);
}

void dispatch_task::changeEndpoints(const std::vector<store_record> &records)
{
    for (const store_record &record : records) {
        if (!record.value) {
            removeEndpoint(endpoint_id(record.key), "its entry was dropped");
            continue;
        }
        const auto decoded = m_dialects.records.decodeEndpoint(record.key, *record.value);
        if (!decoded) {
            m_log.write(log_line("dispatch", "record_unreadable")
                            .add("key", record.key)
                            .add("offset", record.offset)
                            .add("cause", decoded.error().message));
            continue;
        }
        if (m_plan) {
            putEndpoint(decoded.value());
        } else {
            m_early[decoded.value().id] = decoded.value();
        }
    }
}

void dispatch_task::changeMembers(const std::vector<store_record> &records)
{
    const instant now = boot_clock::now();
    for (const store_record &record : records) {
        const instance_id instance(record.key);
        if (!record.value) {
            m_members.remove(instance);
            continue;
        }
        const auto report = decodeMemberReport(*record.value);
        if (report) {
            m_members.put(instance, report.value(), now);
        } else {
            m_log.write(log_line("dispatch", "record_unreadable").add("key", record.key).add("cause", report.error().message));
        }
    }
}

void dispatch_task::putEndpoint(const endpoint_entry &entry)
{
    if (m_endpoints.put(entry, m_plan->findService(entry.service), boot_clock::now())) {
        m_log.write(log_line("dispatch", "endpoint_changed")
                        .add("endpoint", entry.id)
                        .add("service", entry.service)
                        .add("address", entry.address.toString())
                        .add("data_centre", entry.dataCentre)
                        .add("draining", entry.isDraining)
                        .add("cold_ms", entry.coldLeft));
    }
}

void dispatch_task::removeEndpoint(const endpoint_id &endpoint, std::string_view cause)
{
    m_early.erase(endpoint);
    if (m_endpoints.remove(endpoint)) {
        m_log.write(log_line("dispatch", "endpoint_gone").add("endpoint", endpoint).add("cause", cause));
    }
}

dispatch_task::admission dispatch_task::admit(const forward_facts &facts, instant arrived)
{
    const instant now = boot_clock::now();
    if (!m_plan || m_endpoints.size() == 0) {
        return {std::nullopt, {refusal_cause::not_ready, retryAfterStart}};
    }
    const traffic_route *route = m_plan->findRoute(facts.host, facts.path);
    if (route == nullptr) {
        return {std::nullopt, {refusal_cause::unknown_route, std::nullopt}};
    }
    const workspace_plan *workspace = facts.key.empty() ? nullptr : m_plan->findWorkspaceOfKey(facts.key);
    if (workspace == nullptr && m_plan->requiresKeys() && !route->isOpen) {
        return {std::nullopt, {refusal_cause::unknown_key, std::nullopt}};
    }
    // What could not be finished within the grace is left to other instances.
    const deadline taken = route->kind == request_kind::streaming ? m_streamsUntil : m_callsUntil;
    if (taken.hasPassed(now)) {
        return {std::nullopt, {refusal_cause::shutting_down, retryAfterShutdown}};
    }
    admitted_request admitted;
    admitted.facts = facts;
    admitted.plan = m_plan;
    admitted.route = route;
    admitted.arrived = arrived;
    admitted.priority = route->priority;
    if (workspace != nullptr) {
        admitted.workspace = workspace->id;
        admitted.priority = workspace->priority.value_or(route->priority);
        const double cost = workspace_shares::costOf(*workspace, facts.promptTokens, facts.outputTokens);
        if (!m_shares.take(workspace->id, cost, now)) {
            const auto wait = std::chrono::ceil<milliseconds>(m_shares.waitFor(workspace->id, cost, now));
            if (mayLog(false)) {
                m_log.write(log_line("dispatch", "over_quota")
                                .add("request", facts.id)
                                .add("workspace", workspace->id)
                                .add("cost", static_cast<std::int64_t>(cost))
                                .add("rate_per_s", static_cast<std::int64_t>(workspace->ratePerSecond))
                                .add("share_percent", static_cast<std::int64_t>(m_shares.shareOf(workspace->id) * 100.0))
                                .add("instances", m_instanceCount));
            }
            return {std::nullopt, {refusal_cause::over_quota, std::min(wait, longestQuotaRetry)}};
        }
    }
    return {std::move(admitted), {}};
}

void dispatch_task::refuse(flow_id flow, const caller_refusal &refusal, const forward_facts &facts)
{
    http_response response = m_dialects.callers.refusal(refusal, facts);
    if (mayLog(false)) {
        m_log.write(log_line("dispatch", "refused")
                        .add("request", facts.id)
                        .add("cause", refusalName(refusal.cause))
                        .add("status", response.status)
                        .add("path", facts.path)
                        .add("plan", m_plan ? m_plan->plan().version.value() : 0)
                        .add("retry_after_ms", refusal.retryAfter ? refusal.retryAfter->count() : -1));
    }
    count("burdockshelf_refusals_total", "cause", refusalName(refusal.cause));
    toCallers(answer_whole {flow, std::move(response)});
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
    const bool isRun = action.duty == endpoint_duty::plain_call || action.duty == endpoint_duty::decode;
    order.needsProof = isRun;
    order.isRepeatable = request.route->kind == request_kind::idempotent || !isRun;
    order.request = action.duty == endpoint_duty::reserve ? m_dialects.endpoints.reserve(action)
                                                          : m_dialects.endpoints.forward(flow.original, request, action, boot_clock::now());
    const endpoint_state *endpoint = m_endpoints.find(action.endpoint);
    if (mayLog(true)) {
        m_log.write(log_line("dispatch", "attempt_sent")
                        .add("request", request.facts.id)
                        .add("attempt", action.number)
                        .add("duty", dutyName(action.duty))
                        .add("endpoint", action.endpoint)
                        .add("tokens", action.tokens)
                        .add("own_requests_there", endpoint == nullptr ? 0 : endpoint->outstanding)
                        .add("own_tokens_there", endpoint == nullptr ? 0 : endpoint->outstandingTokens.value())
                        .add("others_there", endpoint == nullptr ? 0 : static_cast<std::int64_t>(endpoint->foreignRequests))
                        .add("others_seen_ms", endpoint == nullptr ? boot_clock::duration() : boot_clock::now() - endpoint->foreignSeen)
                        .add("has_room", action.room.has_value())
                        .add("has_prompt", action.source.has_value())
                        .add("left_ms", action.until.remaining(boot_clock::now())));
    }
    flow.sent[action.number] = std::move(action);
    toEndpoints(std::move(order));
}

void dispatch_task::perform(active_flow &flow, const withdraw_attempt &action)
{
    const auto sent = flow.sent.find(action.number);
    m_log.write(log_line("dispatch", "attempt_cancelled")
                    .add("request", flow.flow.request().facts.id)
                    .add("attempt", action.number)
                    .add("endpoint", sent == flow.sent.end() ? endpoint_id() : sent->second.endpoint)
                    .add("caller_gone", flow.isCallerGone));
    toEndpoints(close_attempt {flow.id, action.number});
}

void dispatch_task::perform(active_flow & /*flow*/, const release_handle &action)
{
    toEndpoints(call_and_forget {action.handle.address, m_dialects.endpoints.releaseHandle(action.handle.handle)});
}

void dispatch_task::perform(active_flow & /*flow*/, const release_room &action)
{
    toEndpoints(call_and_forget {action.room.address, m_dialects.endpoints.releaseRoom(action.room.reservation)});
}

void dispatch_task::perform(active_flow &flow, const relay_head &action)
{
    flow.answeredAt = boot_clock::now();
    flow.answeredBy = flow.sent[action.number].endpoint;
    flow.status = flow.answers[action.number].status;
    toCallers(answer_head {flow.id, flow.answers[action.number]});
}

void dispatch_task::perform(active_flow &flow, relay_piece &&action)
{
    toCallers(answer_piece {flow.id, std::move(action.bytes)});
}

void dispatch_task::perform(active_flow &flow, const relay_end & /*action*/)
{
    toCallers(answer_end {flow.id});
    noteOutcome(flow, "answered", flow.status);
}

void dispatch_task::perform(active_flow &flow, const relay_whole &action)
{
    flow.answeredAt = boot_clock::now();
    flow.answeredBy = flow.sent[action.number].endpoint;
    http_response response = std::move(flow.answers[action.number]);
    const int status = response.status;
    toCallers(answer_whole {flow.id, std::move(response)});
    noteOutcome(flow, "answered", status);
}

void dispatch_task::perform(active_flow &flow, const refuse_request &action)
{
    const forward_facts &facts = flow.flow.request().facts;
    http_response response = m_dialects.callers.refusal({action.cause, action.retryAfter}, facts);
    const int status = response.status;
    toCallers(answer_whole {flow.id, std::move(response)});
    count("burdockshelf_refusals_total", "cause", refusalName(action.cause));
    noteOutcome(flow, refusalName(action.cause), status);
}

void dispatch_task::perform(active_flow &flow, const break_answer & /*action*/)
{
    toCallers(answer_broken {flow.id});
    noteOutcome(flow, "broken_off", flow.status);
}

void dispatch_task::noteOutcome(active_flow &flow, std::string_view outcome, int status)
{
    flow.outcome = outcome;
    flow.status = status;
}

void dispatch_task::settle(active_flow &flow)
{
    if (flow.flow.isDone()) {
        const admitted_request &request = flow.flow.request();
        const auto took = boot_clock::now() - request.arrived;
        const bool isGood = flow.outcome == "answered" && flow.status < firstFailureStatus;
        count("burdockshelf_requests_total", "outcome", flow.outcome);
        m_metrics.latencies.push_back({{"burdockshelf_request_seconds", {{"kind", std::string(kindName(request.route->kind))}}},
                                       std::chrono::duration_cast<latency_sketch::duration>(took)});
        if (mayLog(isGood)) {
            m_log.write(log_line("dispatch", "request_done")
                            .add("request", request.facts.id)
                            .add("route", request.route->id)
                            .add("kind", kindName(request.route->kind))
                            .add("workspace", request.workspace)
                            .add("outcome", flow.outcome)
                            .add("status", flow.status)
                            .add("endpoint", flow.answeredBy)
                            .add("attempts", flow.flow.attemptCount())
                            .add("plan", request.plan->plan().version)
                            .add("first_ms", flow.answeredAt == instant() ? boot_clock::duration() : flow.answeredAt - request.arrived)
                            .add("took_ms", took));
        }
        if (flow.isArmed) {
            m_deadlines.erase({flow.armedFor, flow.id});
        }
        m_flows.erase(flow.id);
        armDeadline();
        return;
    }
    const deadline next = flow.flow.nextDeadline();
    if (flow.isArmed && flow.armedFor == next.at()) {
        return;
    }
    if (flow.isArmed) {
        m_deadlines.erase({flow.armedFor, flow.id});
    }
    flow.isArmed = !next.isNever();
    flow.armedFor = next.at();
    if (flow.isArmed) {
        m_deadlines.insert({flow.armedFor, flow.id});
    }
    armDeadline();
}

dispatch_task::active_flow *dispatch_task::find(flow_id flow)
{
    const auto found = m_flows.find(flow);
    return found == m_flows.end() ? nullptr : found->second.get();
}

void dispatch_task::armDeadline()
{
    if (m_deadlines.empty()) {
        m_deadline.stop();
        return;
    }
    const deadline first(m_deadlines.begin()->first);
    // A timer that fires too early finds nothing due and is armed again, which is cheaper than moving it with every request.
    if (!m_deadline.isArmed() || first < m_deadline.at()) {
        m_deadline.start(first);
    }
}

void dispatch_task::checkDeadlines()
{
    const instant now = boot_clock::now();
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const flow_id due = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        if (active_flow *target = find(due)) {
            target->isArmed = false;
            carryOut(*target, target->flow.onDeadline(context(), now));
        }
    }
    armDeadline();
}

void dispatch_task::reportState()
{
    const instant now = boot_clock::now();
    m_report.start(deadline::after(now, reportPause));
    if (m_linesLeftOut > 0) {
        m_log.write(log_line("dispatch", "lines_left_out").add("count", std::exchange(m_linesLeftOut, 0)));
    }
    m_lines = {};
    const std::int64_t instances = m_members.count(now);
    if (instances != m_instanceCount) {
        m_log.write(log_line("dispatch", "instances_changed").add("count", instances).add("before", m_instanceCount));
        m_instanceCount = instances;
        m_repeats.setInstanceCount(instances);
        m_endpoints.setInstanceCount(instances);
    }
    m_shares.setDemands(instances, m_members.ownDemand(now), m_members.demands(now), now);
    if (m_reportSequence++ % reportsPerMemberReport == 0) {
        member_report report = {m_settings.incarnation, m_reportSequence, m_shares.demand(now)};
        if (m_to.store.post(member_state {encodeMemberReport(report)}) != post_result::delivered) {
            m_log.write(log_line("dispatch", "message_dropped").add("receiver", "store"));
        }
    }
    listEngines();
    m_metrics.gauges.push_back({{"burdockshelf_endpoints", {}}, static_cast<double>(m_endpoints.size())});
    m_metrics.gauges.push_back({{"burdockshelf_instances", {}}, static_cast<double>(instances)});
    m_metrics.gauges.push_back({{"burdockshelf_active_requests", {}}, static_cast<double>(m_flows.size())});
    if (m_to.metrics.post(std::exchange(m_metrics, {})) != post_result::delivered) {
        m_log.write(log_line("dispatch", "message_dropped").add("receiver", "monitor"));
    }
}

void dispatch_task::listEngines()
{
    engines_listed listed;
    m_endpoints.forEach([&](const endpoint_state &known) {
        if (known.entry.stage) {
            const bool isUsable = m_endpoints.mayReceive(known.entry.id);
            listed.engines.push_back({known.entry.id, known.entry.service, known.entry.address, *known.entry.stage, isUsable});
        }
    });
    if (m_to.duty.post(std::move(listed)) != post_result::delivered) {
        m_log.write(log_line("dispatch", "message_dropped").add("receiver", "duty"));
    }
}

void dispatch_task::updateReadiness()
{
    const bool isReady = m_plan && m_endpoints.size() > 0 && !m_isShuttingDown;
    if (isReady == m_isReady) {
        return;
    }
    m_isReady = isReady;
    const std::string reason = m_isShuttingDown ? "shutting down" : (m_plan ? "no endpoints" : "no configuration");
    m_log.write(log_line("dispatch", isReady ? "ready" : "not_ready")
                    .add("plan", m_plan ? m_plan->plan().version.value() : 0)
                    .add("endpoints", m_endpoints.size())
                    .add("reason", isReady ? "" : reason));
    if (m_to.readiness.post({isReady, isReady ? "" : reason}) != post_result::delivered) {
        m_log.write(log_line("dispatch", "message_dropped").add("receiver", "monitor"));
    }
}

flow_context dispatch_task::context()
{
    return {m_endpoints, m_repeats, m_random};
}

void dispatch_task::toCallers(front_message message)
{
    if (m_to.callers.post(std::move(message)) != post_result::delivered) {
        m_log.write(log_line("dispatch", "message_dropped").add("receiver", "callers"));
    }
}

void dispatch_task::toEndpoints(endpoint_link_message message)
{
    if (m_to.endpoints.post(std::move(message)) != post_result::delivered) {
        m_log.write(log_line("dispatch", "message_dropped").add("receiver", "endpoints"));
    }
}

bool dispatch_task::mayLog(bool isGood)
{
    std::int64_t &written = isGood ? m_lines.good : m_lines.failed;
    if (++written <= (isGood ? mostSuccessLines : mostFailureLines)) {
        return true;
    }
    ++m_linesLeftOut;
    return false;
}

void dispatch_task::count(std::string_view metric, std::string_view label, std::string_view value)
{
    m_metrics.counters.push_back({{std::string(metric), {{std::string(label), std::string(value)}}}, 1});
}

} // namespace burdockshelf
