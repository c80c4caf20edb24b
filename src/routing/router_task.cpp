#include "routing/router_task.h"

#include "core/digest.h"
#include "state/find_workspace_for_key.h"

#include <algorithm>
#include <deque>
#include <type_traits>
#include <utility>

#include <boost/outcome/try.hpp>
#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

namespace http_status
{
constexpr int badRequest = 400;
constexpr int unauthorized = 401;
constexpr int notFound = 404;
constexpr int unavailable = 503;
} // namespace http_status

int statusOf(error_code code)
{
    switch (code) {
    case error_code::unknown_key:
    case error_code::key_withdrawn:
        return http_status::unauthorized;
    case error_code::not_found:
        return http_status::notFound;
    case error_code::unavailable:
    case error_code::overloaded:
        return http_status::unavailable;
    default:
        return http_status::badRequest;
    }
}

// An attempt's id starts with the id of its request and a dot.
request_id requestOf(const attempt_id &attempt)
{
    return request_id(attempt.value().substr(0, attempt.value().find('.')));
}

// Placeholder workspace for all callers of a service that is open to all.
workspace_id openServiceWorkspace(const service_id &service)
{
    return workspace_id("open:" + service.value());
}

// A claim is identified by workspace and idempotency key. Callers of a service that is open to all have no workspace, so equal keys of
// different callers of such a service count as the same key.
claim_id claimIdOf(const active_request &active)
{
    const workspace_id &workspace = active.machine.facts().workspace;
    return {workspace.isEmpty() ? openServiceWorkspace(active.service) : workspace, active.call.idempotency};
}

token_count promptCharge(byte_count bytes, std::int64_t bytesPerToken)
{
    return token_count((bytes.value() + bytesPerToken - 1) / bytesPerToken);
}

} // namespace

router_task::router_task(event_loop &loop,
                         std::shared_ptr<mailbox<router_task_message>> box,
                         router_settings settings,
                         router_task_sinks sinks,
                         random_source random)
    : task(std::move(box))
    , m_settings(std::move(settings))
    , m_sinks(std::move(sinks))
    , m_random(random)
    , m_placement(makePlacementStrategy(m_settings.placement))
    , m_queueOrder(makeQueueOrder(m_settings.queueOrder))
    , m_directory(m_settings.dataCentre)
    , m_queues(m_queueOrder, m_settings.concurrentReservations)
    , m_settlements(loop, m_sinks.settlements)
    , m_slotReleases(loop, m_sinks.slotReleases)
    , m_claimEnds(loop, m_sinks.claimEnds)
    , m_cancellations(loop, m_sinks.endpoints)
    , m_reporter(loop, m_settings.reportInterval, [this] { return report(); })
    , m_timer(loop, [this] {
        expireQueuedRequests();
        reserveForReadyServices();
    })
{
}

outcome<void> router_task::start()
{
    if (!m_placement || !m_queueOrder) {
        return failure(error_code::invalid_settings, "unknown placement or queue order strategy");
    }
    return success();
}

void router_task::beginShutdown()
{
    m_isShuttingDown = true;
    finishWhenIdle();
}

void router_task::handle(router_task_message &&message)
{
    std::visit([this](auto &&typed) { receive(std::forward<decltype(typed)>(typed)); }, std::move(message));
    reserveForReadyServices();
    finishWhenIdle();
}

void router_task::receive(view_changed &&changed)
{
    m_view = std::move(changed.view);
    m_directory.setView(m_view);
    m_reporter.noteChange();
    m_queues.resumeAll();
}

void router_task::receive(caller_request &&call)
{
    const request_id id = call.id;
    const sink<caller_response> reply = call.reply;
    // makeRequest() takes the call over. A refusal needs only the call's id and reply sink.
    caller_request unaccepted;
    unaccepted.id = id;
    unaccepted.reply = reply;
    auto prepared = makeRequest(std::move(call));
    if (!prepared) {
        m_metrics.noteUnattributedRefusal(prepared.error().code);
        refuseUnaccepted(unaccepted, prepared.error());
        return;
    }
    if (m_isShuttingDown || m_requests.size() >= m_settings.maxRequests) {
        // The last argument says that the request was not executed.
        m_metrics.noteRefusal(prepared.value().service, prepared.value().level, error_code::overloaded, true);
        refuseUnaccepted(unaccepted, {error_code::overloaded, "the instance accepts no further requests"});
        return;
    }
    active_request &active = m_requests.emplace(id, std::move(prepared).value()).first->second;
    executeActions(id, active.machine.start(contextOf(active)));
}

void router_task::receive(caller_disconnected &&disconnected)
{
    if (active_request *active = find(disconnected.request)) {
        VLOG(1) << "routing: request " << disconnected.request << ": the caller has disconnected.";
        executeActions(disconnected.request, active->machine.callerDisconnected(contextOf(*active)));
    }
}

void router_task::receive(charge_response &&response)
{
    if (active_request *active = find(response.request)) {
        executeActions(response.request, active->machine.charged(response.isGranted, response.retryAfter, contextOf(*active)));
    } else if (response.isGranted) {
        // The request ended before its charge was granted. The charge is settled with an actual cost of zero.
        m_settlements.post({response.request, {}});
    }
}

void router_task::receive(slot_decision &&decision)
{
    m_directory.noteLoad(decision.endpoint, decision.used, decision.limit, !decision.isGranted, boot_clock::now());
    if (active_request *active = find(decision.request)) {
        executeActions(decision.request, active->machine.slotDecided(decision.endpoint, decision.isGranted, contextOf(*active)));
    } else if (decision.isGranted) {
        m_slotReleases.post({decision.request, decision.endpoint, attempt_verdict::cancelled});
    }
}

void router_task::receive(claim_decision &&decision)
{
    active_request *active = find(decision.request);
    if (active == nullptr) {
        // The caller disconnected while the claim was being decided. Nothing was dispatched, so the claim is released (isReleased is true
        // and there is no status).
        if (decision.result == claim_result::won) {
            m_claimEnds.post({{decision.id, decision.request, true, 0, {}, {}}});
        }
        return;
    }
    active->recordedOutcome = std::move(decision.earlierOutcome);
    executeActions(decision.request, active->machine.claimed(decision.result, contextOf(*active)));
}

void router_task::receive(prefill_done &&done)
{
    if (active_request *active = findByAttempt(done.attempt)) {
        active->kv = std::move(done.kv);
        executeActions(requestOf(done.attempt), active->machine.prefillDone(done.attempt, contextOf(*active)));
    }
}

void router_task::receive(decode_event &&event)
{
    if (active_request *active = findByAttempt(event.attempt)) {
        const attempt_id attempt = event.attempt;
        active->lastEvent = std::move(event);
        executeActions(requestOf(attempt),
                       active->machine.decodeEvent(attempt, active->lastEvent.position, active->lastEvent.text, contextOf(*active)));
    }
}

void router_task::receive(decode_done &&done)
{
    if (active_request *active = findByAttempt(done.attempt)) {
        const request_facts &facts = active->machine.facts();
        if (!done.isUsageKnown) {
            done.usage = {facts.promptCharge, facts.maxTokens};
        }
        active->usage = done.usage;
        active->finishReason = done.finishReason;
        executeActions(requestOf(done.attempt),
                       active->machine.decodeDone(done.attempt, done.usage.prompt, done.usage.completion, contextOf(*active)));
    }
}

// A plain call is a call of a service that is not a language model.
void router_task::receive(plain_done &&done)
{
    if (active_request *active = findByAttempt(done.attempt)) {
        active->plainResponse = std::move(done.response);
        executeActions(requestOf(done.attempt), active->machine.plainDone(done.attempt, active->plainResponse.status, contextOf(*active)));
    }
}

void router_task::receive(attempt_failed &&failed)
{
    if (active_request *active = findByAttempt(failed.attempt)) {
        LOG(INFO) << "routing: attempt " << failed.attempt << " failed: " << failed.cause << ".";
        executeActions(requestOf(failed.attempt),
                       active->machine.attemptFailed(failed.attempt, {failed.cause, failed.isNotSent}, contextOf(*active)));
    }
}

outcome<active_request> router_task::makeRequest(caller_request &&call) const
{
    if (!m_view || m_view->config.version == configuration_version()) {
        return failure(error_code::unavailable, "no configuration is in force yet");
    }
    BOOST_OUTCOME_TRY(service, findService(call));
    const service_settings &settings = m_view->config.services.at(service);
    request_facts facts;
    facts.id = call.id;
    facts.kind = settings.kind;
    facts.isRetryable = settings.isRetryable;
    facts.hasIdempotencyKey = !call.idempotency.isEmpty();
    if (!settings.isAnonymousAllowed) {
        BOOST_OUTCOME_TRY(workspace, findWorkspaceForKey(*m_view, call.presentedKey));
        facts.workspace = workspace;
    }
    const urgency_class_id urgencyId = call.urgency.isEmpty() ? settings.defaultUrgency : call.urgency;
    const auto urgency = m_view->config.urgencyClasses.find(urgencyId);
    if (urgency == m_view->config.urgencyClasses.end()) {
        return failure(error_code::invalid_argument, "unknown urgency class");
    }
    if (call.model) {
        model_request &model = *call.model;
        model.maxTokens = model.maxTokens > token_count() ? model.maxTokens : settings.defaultMaxTokens;
        facts.maxTokens = model.maxTokens;
        facts.promptCharge = promptCharge(model.promptBytes, settings.promptBytesPerToken);
        facts.charge = facts.promptCharge + facts.maxTokens;
    } else {
        facts.charge = settings.callCost;
    }
    const instant now = boot_clock::now();
    facts.dispatchUntil = deadline::after(now, urgency->second.maxQueueTime);
    // Measures the latencies of this request for comparison with the targets of its urgency class.
    service_level level(facts.workspace.isEmpty() ? openServiceWorkspace(service) : facts.workspace, urgencyId, urgency->second, now);
    active_request active(request_machine(std::move(facts)), std::move(call), service);
    active.priority = urgency->second.priority;
    active.prefixHash = active.call.model ? active.call.model->prefixHash : 0;
    active.level = std::move(level);
    return active;
}

outcome<service_id> router_task::findService(const caller_request &call) const
{
    const auto &services = m_view->config.services;
    if (call.model) {
        // The model that the caller named is the id of the service.
        const auto found = services.find(call.model->service);
        if (found == services.end() || found->second.kind != service_kind::model) {
            return failure(error_code::not_found, "unknown model");
        }
        return found->first;
    }
    const std::string_view path = call.request.path();
    const service_id *best = nullptr;
    std::size_t bestLength = 0;
    for (const auto &[id, settings] : services) {
        const bool isMatch = settings.kind == service_kind::plain && path.starts_with(settings.pathPrefix);
        if (isMatch && settings.pathPrefix.size() >= bestLength) {
            best = &id;
            bestLength = settings.pathPrefix.size();
        }
    }
    if (best == nullptr) {
        return failure(error_code::not_found, "no service matches this path");
    }
    return *best;
}

void router_task::refuseUnaccepted(const caller_request &call, const error &cause)
{
    LOG(INFO) << "routing: request " << call.id << " refused: " << cause << ".";
    // An unaccepted request was not executed (isNotExecuted is true); isEarlierOutcomeUnknown is false.
    const post_result posted = call.reply.post(refusal {call.id, statusOf(cause.code), cause, true, false, std::nullopt});
    LOG_IF(WARNING, posted != post_result::delivered)
        << "routing: request " << call.id << ": could not deliver the refusal to the caller listener.";
}

event_context router_task::contextOf(const active_request &active) const
{
    event_context context;
    context.now = boot_clock::now();
    const workspace_id &workspace = active.machine.facts().workspace;
    // The API key is checked again while the request is queued, and while it reserves its endpoints after the queue has selected it.
    if (!workspace.isEmpty() && (active.machine.isQueued() || active.queueEntry)) {
        const auto current = findWorkspaceForKey(*m_view, active.call.presentedKey);
        context.isAuthorised = current.has_value() && current.value() == workspace;
    }
    return context;
}

active_request *router_task::find(const request_id &request)
{
    const auto found = m_requests.find(request);
    return found == m_requests.end() ? nullptr : &found->second;
}

active_request *router_task::findByAttempt(const attempt_id &attempt)
{
    return find(requestOf(attempt));
}

// Some actions complete at once and return further actions.
void router_task::executeActions(const request_id &request, request_actions actions)
{
    std::deque<request_action> pending(std::make_move_iterator(actions.begin()), std::make_move_iterator(actions.end()));
    while (!pending.empty()) {
        active_request *active = find(request);
        if (active == nullptr) {
            return;
        }
        const request_action action = std::move(pending.front());
        pending.pop_front();
        request_actions more = std::visit([&](const auto &typed) { return executeAction(*active, typed); }, action);
        pending.insert(pending.end(), std::make_move_iterator(more.begin()), std::make_move_iterator(more.end()));
    }
}

request_actions router_task::executeAction(active_request &active, const charge_action &action)
{
    const request_facts &facts = active.machine.facts();
    charge_request charge;
    charge.request = facts.id;
    charge.workspace = facts.workspace;
    charge.amount = action.amount;
    charge.until = deadline::after(boot_clock::now(), m_settings.chargeTimeout);
    charge.reply = makeSink<charge_response>(self());
    if (m_sinks.charges.post(std::move(charge)) != post_result::delivered) {
        return active.machine.charged(false, std::chrono::seconds(1), contextOf(active));
    }
    return {};
}

request_actions router_task::executeAction(active_request &active, const settle_action &action)
{
    m_settlements.post({active.call.id, action.actual});
    return {};
}

request_actions router_task::executeAction(active_request &active, const claim_action & /*action*/)
{
    const http_request &request = active.call.request;
    const std::string &body = active.call.model ? active.call.model->body : request.body;
    claim_request claimRequest;
    claimRequest.requestedClaim.id = claimIdOf(active);
    claimRequest.requestedClaim.request = active.call.id;
    claimRequest.requestedClaim.fingerprint = sha256Hex(request.method + "\n" + request.target + "\n" + body);
    claimRequest.until = deadline::after(boot_clock::now(), m_settings.claimTimeout);
    claimRequest.reply = makeSink<claim_decision>(self());
    if (m_sinks.claims.post(std::move(claimRequest)) != post_result::delivered) {
        return active.machine.claimed(claim_result::unavailable, contextOf(active));
    }
    return {};
}

request_actions router_task::executeAction(active_request &active, const end_claim_action &action)
{
    claim_outcome ended;
    ended.id = claimIdOf(active);
    ended.request = active.call.id;
    ended.isReleased = action.ending == claim_ending::released;
    if (action.ending == claim_ending::answered) {
        ended.status = active.plainResponse.status;
        ended.contentType = std::string(active.plainResponse.headers.value("Content-Type"));
        ended.body = active.plainResponse.body;
    }
    m_claimEnds.post({std::move(ended)});
    return {};
}

request_actions router_task::executeAction(active_request &active, const enqueue_action & /*action*/)
{
    m_reporter.noteChange();
    const instant now = boot_clock::now();
    if (active.queueEntry) {
        // The queue had selected the request, but it found no endpoint. It returns with its earlier entry and so keeps its place.
        finishReservation(active);
        m_queues.requeue(active.service, *active.queueEntry, now);
        return {};
    }
    const request_facts &facts = active.machine.facts();
    // The last field is the arrival number, which the queue assigns.
    queued_request entry = {facts.id, facts.workspace, active.priority, facts.charge, now, active.machine.dispatchUntil(), 0};
    if (!m_queues.push(active.service, std::move(entry), now)) {
        return active.machine.shed(contextOf(active));
    }
    return {};
}

request_actions router_task::executeAction(active_request &active, const dequeue_action & /*action*/)
{
    m_queues.remove(active.service, active.call.id);
    return {};
}

// The request has reserved its endpoints, so its queue entry is no longer needed. A retry gets a new entry.
request_actions router_task::executeAction(active_request &active, const note_dispatch_action & /*action*/)
{
    m_queues.noteDispatch(active.service, *active.queueEntry, boot_clock::now());
    finishReservation(active);
    active.queueEntry.reset();
    return {};
}

request_actions router_task::executeAction(active_request &active, const list_candidates_action &action)
{
    const instant now = boot_clock::now();
    const placement_query query = {active.prefixHash, {}, now};
    std::vector<endpoint_id> ordered = m_placement->order(query, m_directory.candidates(active.service, action.role), m_random);
    return active.machine.candidatesListed(action.role, std::move(ordered), contextOf(active));
}

request_actions router_task::executeAction(active_request &active, const request_slot_action &action)
{
    slot_request slotRequest;
    slotRequest.request = active.call.id;
    slotRequest.endpoint = action.endpoint;
    slotRequest.until = deadline::after(boot_clock::now(), m_settings.slotTimeout);
    slotRequest.reply = makeSink<slot_decision>(self());
    if (m_sinks.slots.post(std::move(slotRequest)) != post_result::delivered) {
        return active.machine.slotDecided(action.endpoint, false, contextOf(active));
    }
    return {};
}

request_actions router_task::executeAction(active_request &active, const release_slot_action &action)
{
    m_slotReleases.post({active.call.id, action.endpoint, action.verdict});
    // A slot that became free ends the pause of the service's queue. A slot that was released unused does not show that the pool has
    // capacity; ending the pause then would retry endlessly.
    if (action.verdict != attempt_verdict::cancelled) {
        m_queues.resume(active.service);
    }
    return {};
}

request_actions router_task::executeAction(active_request &active, const prefill_action &action)
{
    noteDispatch(active);
    m_metrics.notePrefill(active.service);
    const deadline until = deadline::after(boot_clock::now(), m_settings.prefillTimeout);
    prefill_call call = {action.attempt, active.call.id, modelFor(active), active.priority, until, active.machine.generated()};
    return startAttempt(active, action.endpoint, action.attempt, std::move(call));
}

request_actions router_task::executeAction(active_request &active, const decode_action &action)
{
    decode_call call;
    call.attempt = action.attempt;
    call.request = active.call.id;
    call.model = modelFor(active);
    call.kv = active.kv;
    call.priority = active.priority;
    call.generated = active.machine.generated();
    call.until = deadline::after(boot_clock::now(), m_settings.firstEventTimeout);
    call.interEventTimeout = m_settings.betweenEventsTimeout;
    return startAttempt(active, action.endpoint, action.attempt, std::move(call));
}

// Resumes the interrupted decode stream of a request.
request_actions router_task::executeAction(active_request &active, const resume_action &action)
{
    LOG(INFO) << "routing: request " << active.call.id << ": resuming at " << action.endpoint << " from event " << action.from << ".";
    m_metrics.noteResume(active.service);
    resume_call call;
    call.attempt = action.attempt;
    call.request = active.call.id;
    call.from = action.from;
    // If the last event before the interruption carried the finish reason, the resumed stream does not repeat it, and without a finish
    // reason it would count as incomplete.
    call.finishReason = active.lastEvent.finishReason;
    call.until = deadline::after(boot_clock::now(), m_settings.firstEventTimeout);
    call.interEventTimeout = m_settings.betweenEventsTimeout;
    return startAttempt(active, action.endpoint, action.attempt, std::move(call));
}

request_actions router_task::executeAction(active_request &active, const plain_call_action &action)
{
    noteDispatch(active);
    const deadline until = deadline::after(boot_clock::now(), m_settings.plainTimeout);
    return startAttempt(active, action.endpoint, action.attempt, plain_call {action.attempt, active.call.request, until});
}

// Cancels a running attempt: its endpoint closes the connection and, for a model, has the engine abort the request.
request_actions router_task::executeAction(active_request & /*active*/, const cancel_attempt_action &action)
{
    m_cancellations.post({action.endpoint, cancel_attempt {action.attempt}});
    return {};
}

// The attempt has ended without a response, so there is no connection to close. The engine, which is the endpoint of a model, may still be
// processing the request and is told to abort it.
request_actions router_task::executeAction(active_request &active, const abort_at_engine_action &action)
{
    m_cancellations.post({action.endpoint, abort_request {active.call.id}});
    return {};
}

request_actions router_task::executeAction(active_request &active, const release_kv_action &action)
{
    // The state machine releases the KV cache only if no decode will import it, so the prefill was wasted.
    m_metrics.noteWastedPrefill(active.service);
    m_cancellations.post({action.prefill, release_kv {active.call.id, active.kv}});
    return {};
}

request_actions router_task::executeAction(active_request & /*active*/, const note_failure_action &action)
{
    m_directory.noteFailure(action.endpoint, boot_clock::now());
    return {};
}

request_actions router_task::executeAction(active_request &active, const start_response_action &action)
{
    answer(active, model_started {active.call.id, action.prefill, action.decode});
    return {};
}

request_actions router_task::executeAction(active_request &active, const relay_event_action & /*action*/)
{
    const decode_event &event = active.lastEvent;
    if (!event.text.empty()) {
        active.level.noteToken(boot_clock::now());
    }
    if (!event.isUsageOnly || active.call.model->wantsUsage) {
        answer(active, model_event {active.call.id, event.text, event.data});
    }
    return {};
}

request_actions router_task::executeAction(active_request &active, const finish_response_action & /*action*/)
{
    m_metrics.noteModelAnswer(active.service, active.level, boot_clock::now());
    active.isResultCounted = true;
    answer(active, model_finished {active.call.id, active.usage, active.finishReason});
    return {};
}

request_actions router_task::executeAction(active_request &active, const relay_plain_response_action &action)
{
    m_metrics.notePlainAnswer(active.service, active.level, active.plainResponse.status, boot_clock::now());
    active.isResultCounted = true;
    answer(active, plain_response {active.call.id, std::move(active.plainResponse), action.endpoint});
    return {};
}

request_actions router_task::executeAction(active_request &active, const replay_response_action & /*action*/)
{
    plain_response recorded;
    recorded.request = active.call.id;
    recorded.response.status = active.recordedOutcome->status;
    if (!active.recordedOutcome->contentType.empty()) {
        recorded.response.headers.add("Content-Type", active.recordedOutcome->contentType);
    }
    recorded.response.headers.add("Idempotency-Replayed", "true");
    recorded.response.body = active.recordedOutcome->body;
    m_metrics.notePlainAnswer(active.service, active.level, recorded.response.status, boot_clock::now());
    active.isResultCounted = true;
    answer(active, std::move(recorded));
    return {};
}

request_actions router_task::executeAction(active_request &active, const refuse_action &action)
{
    LOG(INFO) << "routing: request " << active.call.id << " of workspace " << active.machine.facts().workspace
              << " refused: " << action.cause << ".";
    m_metrics.noteRefusal(active.service, active.level, action.cause.code, action.isNotExecuted);
    active.isResultCounted = true;
    answer(active,
           refusal {active.call.id, action.status, action.cause, action.isNotExecuted, action.isEarlierOutcomeUnknown, action.retryAfter});
    return {};
}

request_actions router_task::executeAction(active_request &active, const finished_action & /*action*/)
{
    if (active.isReserving) {
        finishReservation(active);
    }
    if (!active.isResultCounted) {
        m_metrics.noteCallerGone(active.service);
    }
    m_reporter.noteChange();
    m_queues.markReady(active.service);
    m_requests.erase(active.call.id);
    return {};
}

request_actions
router_task::startAttempt(active_request &active, const endpoint_id &endpoint, const attempt_id &attempt, endpoint_task_message message)
{
    if (m_sinks.endpoints.post({endpoint, std::move(message)}) != post_result::delivered) {
        const error cause = {error_code::overloaded, "the mailbox of the endpoint supervisor is full or closed"};
        return active.machine.attemptFailed(attempt, {cause, true}, contextOf(active));
    }
    return {};
}

// The caller's model request, with its maximum number of output tokens reduced to what the next attempt may still generate.
model_request router_task::modelFor(const active_request &active) const
{
    model_request model = *active.call.model;
    model.maxTokens = active.machine.remainingTokens();
    return model;
}

void router_task::answer(active_request &active, caller_response part)
{
    if (active.call.reply.post(std::move(part)) == post_result::full) {
        // The listener drains its mailbox in every iteration of the event loop. If it cannot, no caller is served any more, so this task
        // fails.
        LOG(ERROR) << "routing: request " << active.call.id << ": the mailbox of the caller listener is full.";
        fail({error_code::overloaded, "the mailbox of the caller listener is full"});
    }
}

// Called once for each dequeued request, when it has reserved its endpoints or has given up.
void router_task::finishReservation(active_request &active)
{
    m_queues.endReservation(active.service);
    active.isReserving = false;
}

// Takes requests out of the queue of a service, up to the limit of concurrent reservations, and starts to reserve endpoints for them by
// requesting slots.
void router_task::reserveForService(const service_id &service)
{
    while (std::optional<queued_request> next = m_queues.beginReservation(service, boot_clock::now())) {
        active_request *active = find(next->id);
        if (active == nullptr) {
            m_queues.endReservation(service);
            continue;
        }
        const request_id id = next->id;
        active->queueEntry = std::move(next);
        active->isReserving = true;
        executeActions(id, active->machine.dequeued(contextOf(*active)));
    }
}

// A service is marked as ready when it may be able to place a queued request. Reservations of one service can make another service ready
// again, or the same one when a request ends at once.
void router_task::reserveForReadyServices()
{
    while (const std::optional<service_id> service = m_queues.takeReady()) {
        reserveForService(*service);
    }
    scheduleTimer();
}

void router_task::expireQueuedRequests()
{
    for (const queued_request &expired : m_queues.takeExpired(boot_clock::now())) {
        if (active_request *active = find(expired.id)) {
            active->queueEntry.reset();
            executeActions(expired.id, active->machine.queueExpired(contextOf(*active)));
        }
    }
}

void router_task::scheduleTimer()
{
    const deadline next = m_queues.nextDeadline(boot_clock::now());
    if (next != m_timer.at()) {
        m_timer.start(next);
    }
}

// Counts the dispatches of a request; every dispatch after the first is a retry.
void router_task::noteDispatch(active_request &active)
{
    if (active.dispatches > 0) {
        m_metrics.noteRetry(active.service);
    }
    ++active.dispatches;
    m_reporter.noteChange();
}

queues_report router_task::makeQueuesReport() const
{
    std::map<urgency_class_id, std::int64_t> lengths;
    if (m_view) {
        for (const auto &[urgency, settings] : m_view->config.urgencyClasses) {
            lengths[urgency] = 0;
        }
    }
    for (const auto &[id, active] : m_requests) {
        lengths[active.level.urgency()] += active.machine.isQueued() ? 1 : 0;
    }
    queues_report report;
    for (const auto &[urgency, length] : lengths) {
        report.queues.push_back({urgency, length});
    }
    return report;
}

bool router_task::report()
{
    queues_report queues = makeQueuesReport();
    const bool areMetricsPosted = m_metrics.post(m_sinks.metrics);
    if (queues == m_reportedQueues) {
        return areMetricsPosted;
    }
    if (m_sinks.queueReports.post(queues) == post_result::full) {
        return false;
    }
    m_reportedQueues = std::move(queues);
    return areMetricsPosted;
}

void router_task::finishWhenIdle()
{
    if (m_isShuttingDown && m_requests.empty() && !m_isFinished) {
        m_isFinished = true;
        finish();
    }
}

} // namespace burdockshelf
