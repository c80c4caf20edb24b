#include "operators/operations_task.h"

#include "metrics/prometheus_text.h"
#include "operators/status_json.h"

#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr int statusMethodNotAllowed = 405;
constexpr int statusUnavailable = 503;
// Limits for the request head and the body; operations requests carry no body.
constexpr http_server_limits serverLimits = {byte_count(16 * 1024), byte_count(1024)};

http_response textResponse(int status, const std::string &text)
{
    return {status, {{"Content-Type", "text/plain; charset=utf-8"}}, text + "\n"};
}

http_response jsonResponse(std::string text)
{
    return {statusOk, {{"Content-Type", "application/json"}}, std::move(text)};
}

} // namespace

const operations_task::route operations_task::routes[] = {
    {"/live", &operations_task::live},
    {"/ready", &operations_task::ready},
    {"/metrics", &operations_task::metrics},
    {"/status", &operations_task::status},
    {"/burn", &operations_task::burn},
};

operations_task::operations_task(event_loop &loop,
                                 std::shared_ptr<mailbox<operations_message>> box,
                                 operations_settings settings,
                                 sink<operations_listening> listening)
    : task(std::move(box))
    , m_settings(std::move(settings))
    , m_listening(std::move(listening))
    , m_registry(m_settings.burn)
    , m_server(
          loop, serverLimits, [this](const std::shared_ptr<http_exchange> &exchange) { exchange->respond(answer(exchange->request())); })
{
}

outcome<void> operations_task::start()
{
    BOOST_OUTCOME_TRY(bound, m_server.listen(m_settings.listenAddress));
    LOG(INFO) << "operators: listening on " << bound << ".";
    LOG_IF(WARNING, m_listening.post({bound}) == post_result::full)
        << "operators: listening address dropped, the receiver's mailbox is full.";
    return success();
}

void operations_task::handle(operations_message &&message)
{
    std::visit([this](auto &&content) { apply(std::forward<decltype(content)>(content)); }, std::move(message));
}

void operations_task::apply(status_update &&part)
{
    m_board.apply(std::move(part));
}

void operations_task::apply(const metric_batch &batch)
{
    m_registry.apply(batch, boot_clock::now());
}

void operations_task::apply(readiness_changed &&change)
{
    m_readiness = std::move(change);
}

http_response operations_task::answer(const http_request &request) const
{
    for (const route &entry : routes) {
        if (entry.path == request.path()) {
            return request.method == "GET" ? (this->*entry.answer)() : textResponse(statusMethodNotAllowed, "only GET is allowed");
        }
    }
    return textResponse(statusNotFound, "unknown path");
}

http_response operations_task::live() const
{
    return textResponse(statusOk, "live");
}

http_response operations_task::ready() const
{
    return m_readiness.isReady ? textResponse(statusOk, "ready") : textResponse(statusUnavailable, "not ready: " + m_readiness.reason);
}

http_response operations_task::metrics() const
{
    return {statusOk, {{"Content-Type", "text/plain; version=0.0.4"}}, prometheusText(m_registry, boot_clock::now())};
}

http_response operations_task::status() const
{
    return jsonResponse(statusJson(m_board, boot_clock::now()));
}

http_response operations_task::burn() const
{
    return jsonResponse(burnJson(m_registry.burn(), boot_clock::now()));
}

} // namespace burdockshelf
