#include "gateway/dispatch_outbox.h"

#include <string>
#include <utility>

namespace burdockshelf
{

dispatch_outbox::dispatch_outbox(dispatch_addresses to, event_log log)
    : m_to(std::move(to))
    , m_log(std::move(log))
{
}

bool dispatch_outbox::toCallers(caller_server_message message)
{
    return noteUndelivered(m_to.callers.post(std::move(message)), "callers");
}

bool dispatch_outbox::toEndpoints(endpoint_client_message message)
{
    return noteUndelivered(m_to.endpoints.post(std::move(message)), "endpoints");
}

bool dispatch_outbox::toStore(store_message message)
{
    return noteUndelivered(m_to.store.post(std::move(message)), "store");
}

bool dispatch_outbox::toQuotas(quota_broker_message message)
{
    return noteUndelivered(m_to.quotas.post(std::move(message)), "quotas");
}

void dispatch_outbox::toStageControl(stage_control_message message)
{
    noteUndelivered(m_to.stageControl.post(std::move(message)), "duty");
}

bool dispatch_outbox::toVersions(version_message message)
{
    return noteUndelivered(m_to.versions.post(std::move(message)), "versions");
}

void dispatch_outbox::reportReadiness(readiness_report report)
{
    noteUndelivered(m_to.readiness.post(std::move(report)), "monitor");
}

void dispatch_outbox::count(std::string_view metric, std::string_view label, std::string_view value)
{
    m_metrics.counters.push_back({{std::string(metric), {{std::string(label), std::string(value)}}}, 1});
}

void dispatch_outbox::recordLatency(std::string_view metric, std::string_view label, std::string_view value, boot_clock::duration latency)
{
    m_metrics.latencies.push_back(
        {{std::string(metric), {{std::string(label), std::string(value)}}}, std::chrono::duration_cast<latency_sketch::duration>(latency)});
}

void dispatch_outbox::setGauge(std::string_view metric, double value)
{
    m_metrics.gauges.push_back({{std::string(metric), {}}, value});
}

void dispatch_outbox::setGauge(std::string_view metric, std::string_view label, std::string_view value, double gauge)
{
    m_metrics.gauges.push_back({{std::string(metric), {{std::string(label), std::string(value)}}}, gauge});
}

void dispatch_outbox::measureCallerMemory()
{
    if (!m_to.callerMemory) {
        return;
    }
    caller_memory &account = *m_to.callerMemory;
    setGauge("caller_memory_bytes", static_cast<double>(account.held().value()));
    setGauge("caller_memory_max_bytes", static_cast<double>(account.limits().total.value()));
    setGauge("caller_connections", static_cast<double>(account.connections()));
    setGauge("caller_connections_max", static_cast<double>(account.limits().connections));
    for (const memory_bound bound : {memory_bound::connection, memory_bound::source, memory_bound::total}) {
        const std::int64_t shed = account.takeShed(bound);
        if (shed > 0) {
            const std::string name(memoryBoundName(bound));
            m_metrics.counters.push_back({{"callers_shed_total", {{"bound", name}}}, static_cast<std::uint64_t>(shed)});
        }
    }
}

void dispatch_outbox::sendMetrics()
{
    noteUndelivered(m_to.metrics.post(std::exchange(m_metrics, {})), "monitor");
}

bool dispatch_outbox::noteUndelivered(post_result result, std::string_view receiver)
{
    if (result == post_result::delivered) {
        return true;
    }
    m_log.write(log_line("dispatch", "message_dropped").add("receiver", receiver));
    return false;
}

} // namespace burdockshelf
