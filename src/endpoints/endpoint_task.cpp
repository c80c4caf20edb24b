#include "endpoints/endpoint_task.h"

#include "wire/engine_codec.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

/// Delay before events are posted to a full mailbox again. Receivers empty their mailbox in one iteration of the event loop, which takes
/// much less time.
constexpr auto backlogRetryDelay = std::chrono::milliseconds(2);

// Hop-by-hop header fields, and fields that may contain the caller's API key. The front end has already removed the key; removing the
// fields again prevents a leak if a front end misses one.
constexpr const char *strippedHeaders[] = {
    "Connection",
    "Keep-Alive",
    "Proxy-Connection",
    "Proxy-Authorization",
    "Transfer-Encoding",
    "Content-Length",
    "Host",
    "TE",
    "Upgrade",
    "Expect",
    "Authorization",
    "X-Api-Key",
    "Cookie",
};

bool isSuccess(int status)
{
    return status >= 200 && status < 300;
}

const attempt_id &attemptOf(const attempt_event &event)
{
    return std::visit([](const auto &content) -> const attempt_id & { return content.attempt; }, event);
}

} // namespace

endpoint_task::endpoint_task(event_loop &loop,
                             std::shared_ptr<mailbox<endpoint_task_message>> box,
                             endpoint_id endpoint,
                             const socket_address &server,
                             endpoint_report_sinks reports,
                             endpoint_task_settings settings,
                             random_source random)
    : task(std::move(box))
    , m_loop(loop)
    , m_endpoint(std::move(endpoint))
    , m_reports(std::move(reports))
    , m_settings(settings)
    , m_random(random)
    , m_client(loop, server)
    , m_backlogTimer(loop, [this] { flushBacklog(); })
{
}

// Attempts that are running when the task is restarted are failed, so that each gets its terminal event.
endpoint_task::~endpoint_task()
{
    m_isFinished = true;
    while (!m_attempts.empty()) {
        const attempt_id id = m_attempts.begin()->first;
        m_client.cancel(m_attempts.begin()->second.call);
        m_attempts.erase(m_attempts.begin());
        report(attempt_failed {id, {error_code::connection_lost, "the endpoint task was stopped during the attempt"}, false});
    }
    flushBacklog();
    LOG_IF(ERROR, !m_backlog.empty()) << "endpoints: " << m_endpoint << ": " << m_backlog.size()
                                      << " attempt events were dropped because the receiver's mailbox is full.";
}

outcome<void> endpoint_task::start()
{
    return success();
}

void endpoint_task::beginShutdown()
{
    m_isShuttingDown = true;
    finishIfIdle();
}

void endpoint_task::handle(endpoint_task_message &&message)
{
    std::visit([this](const auto &content) { receive(content); }, message);
}

void endpoint_task::receive(const prefill_call &call)
{
    if (!acceptsAttempt(call.attempt)) {
        return;
    }
    const auto request = engine_codec::prefillRequest(call);
    if (!request) {
        report(attempt_failed {call.attempt, request.error(), true});
        return;
    }
    startBuffered(call.attempt, {{}, call.request, std::nullopt, {}, 0}, request.value(), call.until, false);
}

void endpoint_task::receive(const decode_call &call)
{
    if (!acceptsAttempt(call.attempt)) {
        return;
    }
    const auto request = engine_codec::decodeRequest(call);
    if (!request) {
        report(attempt_failed {call.attempt, request.error(), true});
        return;
    }
    decode_stream stream(call.attempt, 0, {}, m_settings.maxEventBytes);
    startStream(call.attempt, {{}, call.request, std::move(stream), call.interEventTimeout, 0}, request.value(), call.until);
}

void endpoint_task::receive(const resume_call &call)
{
    if (!acceptsAttempt(call.attempt)) {
        return;
    }
    decode_stream stream(call.attempt, call.from, call.finishReason, m_settings.maxEventBytes);
    const http_request request = engine_codec::resumeRequest(call);
    startStream(call.attempt, {{}, call.request, std::move(stream), call.interEventTimeout, 0}, request, call.until);
}

void endpoint_task::receive(const plain_call &call)
{
    if (!acceptsAttempt(call.attempt)) {
        return;
    }
    http_request request = call.request;
    for (const char *name : strippedHeaders) {
        request.headers.remove(name);
    }
    startBuffered(call.attempt, {}, request, call.until, true);
}

void endpoint_task::receive(const cancel_attempt &cancelled)
{
    std::erase_if(m_backlog, [&](const attempt_event &event) { return attemptOf(event) == cancelled.attempt; });
    const auto found = m_attempts.find(cancelled.attempt);
    if (found == m_attempts.end()) {
        finishIfIdle();
        return;
    }
    const request_id request = found->second.request;
    m_client.cancel(found->second.call);
    m_attempts.erase(found);
    if (!request.isEmpty()) {
        startControlCall(engine_codec::abortRequest(request));
    }
    finishIfIdle();
}

void endpoint_task::receive(const abort_request &abort)
{
    startControlCall(engine_codec::abortRequest(abort.request));
}

void endpoint_task::receive(const release_kv &release)
{
    auto request = engine_codec::releaseRequest(release);
    if (!request) {
        LOG(WARNING) << "endpoints: " << m_endpoint << ": request " << release.request
                     << ": cannot release the KV cache: " << request.error() << ".";
        return;
    }
    startControlCall(std::move(request).value());
}

void endpoint_task::receive(const endpoint_order &order)
{
    const auto ended = [reply = order.reply](const http_call_result &result) {
        outcome<void> response = success();
        if (!result) {
            response = result.error().cause;
        } else if (result.value().status == 409) {
            response = error {error_code::stale_epoch, "the endpoint has accepted a newer fencing token"};
        } else if (!isSuccess(result.value().status)) {
            response = engine_codec::readRefusal(result.value().status);
        }
        if (reply.post(std::move(response)) != post_result::delivered) {
            LOG(WARNING) << "endpoints: the result of an order could not be delivered.";
        }
    };
    m_client.send(engine_codec::orderRequest(order),
                  {nullptr, nullptr, ended, m_settings.maxControlResponse},
                  deadline::after(boot_clock::now(), m_settings.controlTimeout));
}

void endpoint_task::receive(const load_query & /*query*/)
{
    if (std::exchange(m_isLoadQueryPending, true)) {
        return;
    }
    m_client.send(engine_codec::loadRequest(),
                  {nullptr, nullptr, [this](const http_call_result &result) { onLoadEnded(result); }, m_settings.maxControlResponse},
                  deadline::after(boot_clock::now(), m_settings.loadTimeout));
}

bool endpoint_task::acceptsAttempt(const attempt_id &id)
{
    CHECK(!m_attempts.contains(id)) << "endpoints: attempt " << id << " was started twice.";
    if (m_isShuttingDown) {
        report(attempt_failed {id, {error_code::unavailable, "the endpoint task is shutting down"}, true});
    }
    return !m_isShuttingDown;
}

void endpoint_task::startBuffered(const attempt_id &id, attempt entry, const http_request &request, deadline until, bool isPlain)
{
    attempt &running = m_attempts.emplace(id, std::move(entry)).first->second;
    const auto ended = [this, id, isPlain](http_call_result result) {
        onBufferedEnded(id, std::move(result), isPlain);
    };
    const byte_count maxBody = isPlain ? byte_count(defaultMaxResponseBody) : m_settings.maxPrefillResponse;
    running.call = m_client.send(request, {nullptr, nullptr, ended, maxBody}, until);
}

void endpoint_task::startStream(const attempt_id &id, attempt entry, const http_request &request, deadline until)
{
    attempt &running = m_attempts.emplace(id, std::move(entry)).first->second;
    running.call = m_client.send(request,
                                 {[this, id](const http_response &response) { onStreamHeaders(id, response.status); },
                                  [this, id](std::string_view bytes) { onStreamData(id, bytes); },
                                  [this, id](const http_call_result &result) {
                                      onStreamEnded(id, result);
                                  }},
                                 until);
}

void endpoint_task::onStreamHeaders(const attempt_id &id, int status)
{
    const auto found = m_attempts.find(id);
    if (found != m_attempts.end()) {
        found->second.status = status;
    }
}

void endpoint_task::onStreamData(const attempt_id &id, std::string_view bytes)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end() || !isSuccess(found->second.status)) {
        return;
    }
    decode_progress progress = found->second.stream->feed(bytes);
    if (!progress.events.empty() && found->second.interEventTimeout > boot_clock::duration::zero()) {
        m_client.extend(found->second.call, deadline::after(boot_clock::now(), found->second.interEventTimeout));
    }
    for (decode_event &event : progress.events) {
        report(std::move(event));
    }
    if (progress.end && std::holds_alternative<decode_done>(*progress.end)) {
        // The HTTP exchange continues to the end of the response, so that its connection can be reused.
        endAttempt(id, std::get<decode_done>(*progress.end));
    } else if (progress.end) {
        cancelCall(id);
        endAttempt(id, std::get<attempt_failed>(*progress.end));
    } else if (m_backlog.size() > m_settings.maxBacklog) {
        cancelCall(id);
        endWithFailure(id, {error_code::overloaded, "the receiver of the stream does not keep up with its events"}, false);
    }
}

void endpoint_task::onStreamEnded(const attempt_id &id, const http_call_result &result)
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        finishIfIdle();
        return;
    }
    if (!result) {
        endWithFailure(id, result.error().cause, result.error().isNotSent);
    } else if (!isSuccess(result.value().status)) {
        endWithFailure(id, engine_codec::readRefusal(result.value().status), false);
    } else {
        endWithFailure(id, {error_code::connection_lost, "the engine's event stream ended without [DONE]"}, false);
    }
}

void endpoint_task::onBufferedEnded(const attempt_id &id, http_call_result result, bool isPlain)
{
    if (!result) {
        endWithFailure(id, result.error().cause, result.error().isNotSent);
        return;
    }
    if (isPlain) {
        endAttempt(id, plain_done {id, std::move(result).value()});
        return;
    }
    if (!isSuccess(result.value().status)) {
        endWithFailure(id, engine_codec::readRefusal(result.value().status), false);
        return;
    }
    const auto response = engine_codec::readPrefill(result.value().body);
    if (!response) {
        endWithFailure(id, response.error(), false);
        return;
    }
    endAttempt(id, prefill_done {id, response.value().kv, response.value().usage});
}

void endpoint_task::endAttempt(const attempt_id &id, attempt_event event)
{
    m_attempts.erase(id);
    report(std::move(event));
    finishIfIdle();
}

void endpoint_task::endWithFailure(const attempt_id &id, error cause, bool isNotSent)
{
    VLOG(1) << "endpoints: " << m_endpoint << ": attempt " << id << " failed: " << cause << ".";
    endAttempt(id, attempt_failed {id, std::move(cause), isNotSent});
}

void endpoint_task::cancelCall(const attempt_id &id)
{
    m_client.cancel(m_attempts.at(id).call);
}

void endpoint_task::startControlCall(http_request request)
{
    const std::uint64_t id = ++m_lastControlId;
    const deadline until = deadline::after(boot_clock::now(), m_settings.controlRetryPeriod);
    m_controlCalls.emplace(id, control_call {std::move(request), until, m_settings.initialRetryDelay, nullptr});
    sendControlCall(id);
}

void endpoint_task::sendControlCall(std::uint64_t id)
{
    m_client.send(
        m_controlCalls.at(id).request,
        {nullptr, nullptr, [this, id](const http_call_result &result) { onControlEnded(id, result); }, m_settings.maxControlResponse},
        deadline::after(boot_clock::now(), m_settings.controlTimeout));
}

void endpoint_task::onControlEnded(std::uint64_t id, const http_call_result &result)
{
    control_call &entry = m_controlCalls.at(id);
    const instant now = boot_clock::now();
    // After a status below 500, including 404, the endpoint no longer holds anything of the request.
    const bool isCompleted = result.has_value() && result.value().status < 500;
    if (isCompleted || entry.retryUntil.hasPassed(now)) {
        LOG_IF(WARNING, !isCompleted) << "endpoints: " << m_endpoint << ": no success within the retry period for " << entry.request.path()
                                      << ".";
        m_controlCalls.erase(id);
        finishIfIdle();
        return;
    }
    const auto jittered = std::chrono::duration_cast<boot_clock::duration>(entry.delay * (0.5 + m_random.uniform()));
    entry.delay *= 2;
    entry.retry = std::make_unique<timer>(m_loop, [this, id] { sendControlCall(id); });
    entry.retry->start(deadline::after(now, jittered));
}

void endpoint_task::onLoadEnded(const http_call_result &result)
{
    m_isLoadQueryPending = false;
    if (!result) {
        reportUnreachable(result.error().cause);
        return;
    }
    if (!isSuccess(result.value().status)) {
        reportUnreachable(engine_codec::readRefusal(result.value().status));
        return;
    }
    const auto report = engine_codec::readLoad(m_endpoint, result.value().body);
    if (!report) {
        reportUnreachable(report.error());
        return;
    }
    LOG_IF(WARNING, m_reports.load.post(report.value()) != post_result::delivered)
        << "endpoints: " << m_endpoint << ": a load report could not be delivered.";
}

void endpoint_task::reportUnreachable(error cause)
{
    LOG_IF(WARNING, m_reports.unreachable.post({m_endpoint, std::move(cause)}) != post_result::delivered)
        << "endpoints: " << m_endpoint << ": the failure of a load query could not be delivered.";
}

// Preserves the order of events: an event is not posted before those in the backlog.
void endpoint_task::report(attempt_event event)
{
    if (m_backlog.empty() && tryPostEvent(event)) {
        return;
    }
    m_backlog.push_back(std::move(event));
    m_backlogTimer.start(deadline::after(boot_clock::now(), backlogRetryDelay));
}

void endpoint_task::flushBacklog()
{
    while (!m_backlog.empty() && tryPostEvent(m_backlog.front())) {
        m_backlog.pop_front();
    }
    if (!m_backlog.empty()) {
        m_backlogTimer.start(deadline::after(boot_clock::now(), backlogRetryDelay));
    }
    finishIfIdle();
}

// Returns false when the event has to be posted again. A receiver that is closed will not accept it later either.
bool endpoint_task::tryPostEvent(const attempt_event &event)
{
    return m_reports.attempts.post(event) != post_result::full;
}

void endpoint_task::finishIfIdle()
{
    if (!m_isShuttingDown || m_isFinished || !m_attempts.empty() || !m_controlCalls.empty() || !m_backlog.empty()) {
        return;
    }
    m_isFinished = true;
    finish();
}

} // namespace burdockshelf
