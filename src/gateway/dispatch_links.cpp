#include "gateway/dispatch_links.h"

#include <string>
#include <utility>

namespace burdockshelf
{

dispatch_links::dispatch_links(dispatch_addresses to, event_log log)
    : m_to(std::move(to))
    , m_log(std::move(log))
{
}

void dispatch_links::toCallers(front_message message)
{
    noteResult(m_to.callers.post(std::move(message)), "callers");
}

void dispatch_links::toEndpoints(endpoint_link_message message)
{
    noteResult(m_to.endpoints.post(std::move(message)), "endpoints");
}

void dispatch_links::toStore(store_message message)
{
    noteResult(m_to.store.post(std::move(message)), "store");
}

void dispatch_links::toQuotas(quota_broker_message message)
{
    noteResult(m_to.quotas.post(std::move(message)), "quotas");
}

void dispatch_links::toDuty(stage_control_message message)
{
    noteResult(m_to.duty.post(std::move(message)), "duty");
}

void dispatch_links::reportReadiness(readiness_report report)
{
    noteResult(m_to.readiness.post(std::move(report)), "monitor");
}

void dispatch_links::count(std::string_view metric, std::string_view label, std::string_view value)
{
    m_metrics.counters.push_back({{std::string(metric), {{std::string(label), std::string(value)}}}, 1});
}

void dispatch_links::noteLatency(std::string_view metric, std::string_view label, std::string_view value, boot_clock::duration latency)
{
    m_metrics.latencies.push_back(
        {{std::string(metric), {{std::string(label), std::string(value)}}}, std::chrono::duration_cast<latency_sketch::duration>(latency)});
}

void dispatch_links::setGauge(std::string_view metric, double value)
{
    m_metrics.gauges.push_back({{std::string(metric), {}}, value});
}

void dispatch_links::sendMetrics()
{
    noteResult(m_to.metrics.post(std::exchange(m_metrics, {})), "monitor");
}

void dispatch_links::noteResult(post_result result, std::string_view receiver)
{
    if (result != post_result::delivered) {
        m_log.write(log_line("dispatch", "message_dropped").add("receiver", receiver));
    }
}

} // namespace burdockshelf
