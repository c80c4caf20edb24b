#include "callers/caller_listener_task.h"

#include "callers/presented_key.h"
#include "wire/completion_codec.h"

#include <utility>

#include <boost/outcome/try.hpp>
#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

using namespace std::chrono_literals;

constexpr auto disconnectRetryDelay = 10ms;
constexpr std::string_view completionsPath = "/v1/completions";
constexpr std::string_view chatPath = "/v1/chat/completions";
constexpr std::size_t maxIdempotencyKeyBytes = 256;

namespace http_status
{
constexpr int badRequest = 400;
constexpr int methodNotAllowed = 405;
constexpr int unavailable = 503;
} // namespace http_status

outcome<void> readModelCall(caller_request &call)
{
    const std::string_view path = call.request.path();
    if (path != completionsPath && path != chatPath) {
        return success();
    }
    BOOST_OUTCOME_TRY(model, decodeModelRequest(path == chatPath, std::move(call.request.body)));
    call.request.body.clear();
    call.model = std::move(model);
    return success();
}

// The fields of a model call that the response writer needs. The prompt is kept by the router only.
std::optional<model_request> modelForResponse(const caller_request &call)
{
    if (!call.model) {
        return std::nullopt;
    }
    model_request model;
    model.service = call.model->service;
    model.isChat = call.model->isChat;
    model.isStream = call.model->isStream;
    return model;
}

} // namespace

caller_listener_task::caller_listener_task(event_loop &loop,
                                           std::shared_ptr<mailbox<caller_response>> box,
                                           caller_listener_settings settings,
                                           caller_listener_sinks sinks)
    : task(std::move(box))
    , m_settings(std::move(settings))
    , m_sinks(std::move(sinks))
    , m_server(loop, m_settings.limits, [this](const std::shared_ptr<http_exchange> &exchange) { onRequest(exchange); })
    , m_disconnectRetryTimer(loop, [this] { reportDisconnects(); })
    , m_graceTimer(loop, [this] {
        m_server.stopAccepting();
        m_isClosing = true;
        finishWhenIdle();
    })
{
}

outcome<void> caller_listener_task::start()
{
    BOOST_OUTCOME_TRY(bound, m_server.listen(m_settings.listen));
    LOG(INFO) << "callers: listening on " << bound << ".";
    if (m_sinks.onListening) {
        m_sinks.onListening(bound);
    }
    return success();
}

void caller_listener_task::beginShutdown()
{
    for (auto &[request, writer] : m_writers) {
        writer.closeAfterResponse();
    }
    m_graceTimer.start(deadline::after(boot_clock::now(), m_settings.shutdownGrace));
}

void caller_listener_task::handle(caller_response &&part)
{
    const request_id &request = std::visit([](const auto &typed) -> const request_id & { return typed.request; }, part);
    const auto found = m_writers.find(request);
    if (found == m_writers.end()) {
        return;
    }
    if (found->second.write(part)) {
        found->second.exchange()->setOnClosed(nullptr);
        m_writers.erase(found);
        finishWhenIdle();
        return;
    }
    if (found->second.isCongested()) {
        LOG(WARNING) << "callers: request " << request << ": closing the connection because the caller does not read its response.";
        const std::shared_ptr<http_exchange> exchange = found->second.exchange();
        onCallerClosed(request_id(request));
        exchange->abort();
    }
}

void caller_listener_task::onRequest(const std::shared_ptr<http_exchange> &exchange)
{
    caller_request call;
    call.id = request_id(m_random.hexId());
    call.request = exchange->request();
    call.presentedKey = extractPresentedKey(call.request);
    call.idempotency = idempotency_key(std::string(call.request.headers.value("Idempotency-Key")));
    call.urgency = urgency_class_id(std::string(call.request.headers.value("X-Urgency-Class")));
    call.reply = makeSink<caller_response>(self());
    const auto model = readModelCall(call);
    response_writer writer(exchange, call.id, modelForResponse(call));
    if (m_graceTimer.isArmed() || m_isClosing) {
        writer.closeAfterResponse();
    }
    if (!model) {
        LOG(INFO) << "callers: request " << call.id << " refused: " << model.error() << ".";
        writer.write(refusal {call.id, http_status::badRequest, model.error(), true, false, std::nullopt});
        return;
    }
    if (call.model && call.request.method != "POST") {
        writer.write(refusal {call.id,
                              http_status::methodNotAllowed,
                              {error_code::invalid_argument, "only the POST method is supported"},
                              true,
                              false,
                              std::nullopt});
        return;
    }
    if (call.idempotency.value().size() > maxIdempotencyKeyBytes) {
        const error cause = {error_code::too_large,
                             "the Idempotency-Key is longer than " + std::to_string(maxIdempotencyKeyBytes) + " bytes"};
        writer.write(refusal {call.id, http_status::badRequest, cause, true, false, std::nullopt});
        return;
    }
    const request_id id = call.id;
    exchange->setOnClosed([this, id] { onCallerClosed(id); });
    const auto entry = m_writers.emplace(id, std::move(writer)).first;
    if (m_sinks.requests.post(std::move(call)) != post_result::delivered) {
        LOG(WARNING) << "callers: request " << id << " refused: the mailbox of the router is full or closed.";
        exchange->setOnClosed(nullptr);
        entry->second.write(
            refusal {id, http_status::unavailable, {error_code::overloaded, "the instance is overloaded"}, true, false, 1s});
        m_writers.erase(entry);
    }
}

void caller_listener_task::onCallerClosed(const request_id &request)
{
    m_writers.erase(request);
    m_unreportedDisconnects.push_back(request);
    reportDisconnects();
    finishWhenIdle();
}

void caller_listener_task::reportDisconnects()
{
    while (!m_unreportedDisconnects.empty()) {
        if (m_sinks.gone.post(caller_disconnected {m_unreportedDisconnects.front()}) == post_result::full) {
            m_disconnectRetryTimer.start(deadline::after(boot_clock::now(), disconnectRetryDelay));
            return;
        }
        m_unreportedDisconnects.pop_front();
    }
}

void caller_listener_task::finishWhenIdle()
{
    if (m_isClosing && m_writers.empty() && !m_isFinished) {
        m_isFinished = true;
        finish();
    }
}

} // namespace burdockshelf
