#include "metrics/metric_registry.h"

namespace burdockshelf
{

metric_registry::metric_registry(service_level_settings settings, std::size_t maxSeries)
    : m_maxSeries(maxSeries)
    , m_burn(settings)
{
}

void metric_registry::apply(const metric_batch &batch, instant now)
{
    for (const counter_increment &update : batch.counters) {
        if (std::uint64_t *value = findOrCreate(m_counters, update.metric)) {
            *value += update.amount;
        }
    }
    for (const gauge_value &update : batch.gauges) {
        if (double *value = findOrCreate(m_gauges, update.metric)) {
            *value = update.value;
        }
    }
    for (const latency_sample &update : batch.latencies) {
        if (latency_sketch *sketch = findOrCreate(m_latencies, update.metric)) {
            sketch->add(update.value);
        }
    }
    for (const service_level_event &update : batch.burn) {
        m_burn.add(update.workspace, update.urgency, update.cause, update.events, now);
    }
}

const std::map<metric_name, std::uint64_t> &metric_registry::counters() const
{
    return m_counters;
}

const std::map<metric_name, double> &metric_registry::gauges() const
{
    return m_gauges;
}

const std::map<metric_name, latency_sketch> &metric_registry::latencies() const
{
    return m_latencies;
}

const service_level_tracker &metric_registry::burn() const
{
    return m_burn;
}

std::uint64_t metric_registry::droppedUpdates() const
{
    return m_droppedUpdates;
}

template<typename Value>
Value *metric_registry::findOrCreate(std::map<metric_name, Value> &series, const metric_name &metric)
{
    const auto found = series.find(metric);
    if (found != series.end()) {
        return &found->second;
    }
    if (m_counters.size() + m_gauges.size() + m_latencies.size() >= m_maxSeries) {
        ++m_droppedUpdates;
        return nullptr;
    }
    return &series[metric];
}

} // namespace burdockshelf
