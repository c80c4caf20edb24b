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

constexpr auto goneRetryPause = 10ms;
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

// What the writer needs to know of a model call; the prompt stays with the router alone.
std::optional<model_request> answerForm(const caller_request &call)
{
    if (!call.model) {
        return std::nullopt;
    }
    model_request form;
    form.service = call.model->service;
    form.isChat = call.model->isChat;
    form.isStream = call.model->isStream;
    return form;
}

} // namespace

caller_listener_task::caller_listener_task(event_loop &loop,
                                           std::shared_ptr<mailbox<caller_response>> box,
                                           caller_listener_settings settings,
                                           caller_listener_sinks links)
    : task(std::move(box))
    , m_settings(std::move(settings))
    , m_links(std::move(links))
    , m_server(loop, m_settings.limits, [this](const std::shared_ptr<http_exchange> &exchange) { onRequest(exchange); })
    , m_goneTimer(loop, [this] { reportGone(); })
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
    if (m_links.onListening) {
        m_links.onListening(bound);
    }
    return success();
}

void caller_listener_task::beginShutdown()
{
    for (auto &[request, writer] : m_answers) {
        writer.closeAfterResponse();
    }
    m_graceTimer.start(deadline::after(boot_clock::now(), m_settings.shutdownGrace));
}

void caller_listener_task::handle(caller_response &&part)
{
    const request_id &request = std::visit([](const auto &typed) -> const request_id & { return typed.request; }, part);
    const auto found = m_answers.find(request);
    if (found == m_answers.end()) {
        return;
    }
    if (found->second.write(part)) {
        found->second.exchange()->setOnClosed(nullptr);
        m_answers.erase(found);
        finishWhenIdle();
        return;
    }
    if (found->second.isCongested()) {
        LOG(WARNING) << "callers: request " << request << ": the caller does not read its answer.";
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
    call.presentedKey = takePresentedKey(call.request);
    call.idempotency = idempotency_key(std::string(call.request.headers.value("Idempotency-Key")));
    call.urgency = urgency_class_id(std::string(call.request.headers.value("X-Urgency-Class")));
    call.reply = makeSink<caller_response>(self());
    const auto model = readModelCall(call);
    response_writer writer(exchange, call.id, answerForm(call));
    if (m_graceTimer.isArmed() || m_isClosing) {
        writer.closeAfterResponse();
    }
    if (!model) {
        LOG(INFO) << "callers: request " << call.id << " refused: " << model.error() << ".";
        writer.write(refusal {call.id, http_status::badRequest, model.error(), true, false, std::nullopt});
        return;
    }
    if (call.model && call.request.method != "POST") {
        writer.write(
            refusal {call.id, http_status::methodNotAllowed, {error_code::invalid_argument, "use POST"}, true, false, std::nullopt});
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
    const auto entry = m_answers.emplace(id, std::move(writer)).first;
    if (m_links.requests.post(std::move(call)) != post_result::delivered) {
        LOG(WARNING) << "callers: request " << id << " refused: the router is too far behind.";
        exchange->setOnClosed(nullptr);
        entry->second.write(
            refusal {id, http_status::unavailable, {error_code::overloaded, "the instance is overloaded"}, true, false, 1s});
        m_answers.erase(entry);
    }
}

void caller_listener_task::onCallerClosed(const request_id &request)
{
    m_answers.erase(request);
    m_gone.push_back(request);
    reportGone();
    finishWhenIdle();
}

void caller_listener_task::reportGone()
{
    while (!m_gone.empty()) {
        if (m_links.gone.post(caller_disconnected {m_gone.front()}) == post_result::full) {
            m_goneTimer.start(deadline::after(boot_clock::now(), goneRetryPause));
            return;
        }
        m_gone.pop_front();
    }
}

void caller_listener_task::finishWhenIdle()
{
    if (m_isClosing && m_answers.empty() && !m_isFinished) {
        m_isFinished = true;
        finish();
    }
}

} // namespace burdockshelf
