#include "gateway/monitor_task.h"

#include "metrics/prometheus_text.h"

#include <utility>

namespace burdockshelf
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

} // namespace

monitor_task::monitor_task(event_loop &loop, std::shared_ptr<mailbox<monitor_message>> box, monitor_settings settings)
    : task(std::move(box))
    , m_settings(std::move(settings))
    , m_registry(service_level_settings {})
    , m_readinessServer(loop, {}, [this](const std::shared_ptr<http_exchange> &exchange) { exchange->respond(readiness()); })
    , m_metricsServer(loop, {}, [this](const std::shared_ptr<http_exchange> &exchange) { exchange->respond(metrics()); })
{
}

outcome<void> monitor_task::start()
{
    BOOST_OUTCOME_TRYV(m_readinessServer.listen(m_settings.readinessAddress));
    BOOST_OUTCOME_TRYV(m_metricsServer.listen(m_settings.metricsAddress));
    return success();
}

void monitor_task::handle(monitor_message &&message)
{
    std::visit([this](auto &&typed) { apply(std::forward<decltype(typed)>(typed)); }, std::move(message));
}

void monitor_task::apply(readiness_report &&report)
{
    m_readiness = std::move(report);
}

void monitor_task::apply(const metric_batch &batch)
{
    m_registry.apply(batch, boot_clock::now());
}

http_response monitor_task::readiness() const
{
    http_response response;
    response.status = m_readiness.isReady ? statusOk : statusUnavailable;
    response.body = m_readiness.isReady ? "ready\n" : m_readiness.reason + "\n";
    return response;
}

http_response monitor_task::metrics() const
{
    http_response response;
    response.headers.add("Content-Type", "text/plain; version=0.0.4");
    response.body = prometheusText(m_registry, boot_clock::now());
    return response;
}

} // namespace burdockshelf
