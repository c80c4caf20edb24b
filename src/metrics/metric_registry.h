#pragma once

#include "metrics/latency_sketch.h"
#include "metrics/metric_batch.h"
#include "metrics/service_level_tracker.h"

#include <cstdint>
#include <map>

namespace burdockshelf
{

/// All metrics of an instance. Owned by operations_task, which applies the batches sent by the other tasks.
class metric_registry
{
public:
    explicit metric_registry(service_level_settings settings, std::size_t maxSeries = defaultMaxSeries);

    void apply(const metric_batch &batch, instant now);

    const std::map<metric_name, std::uint64_t> &counters() const;
    const std::map<metric_name, double> &gauges() const;
    const std::map<metric_name, latency_sketch> &latencies() const;
    const service_level_tracker &burn() const;
    /// Number of updates that were dropped because they would have created a series over the limit.
    std::uint64_t droppedUpdates() const;

private:
    static constexpr std::size_t defaultMaxSeries = 4096;

    template<typename Value>
    Value *findOrCreate(std::map<metric_name, Value> &series, const metric_name &metric);

    std::size_t m_maxSeries;
    std::map<metric_name, std::uint64_t> m_counters;
    std::map<metric_name, double> m_gauges;
    std::map<metric_name, latency_sketch> m_latencies;
    service_level_tracker m_burn;
    std::uint64_t m_droppedUpdates = 0;
};

} // namespace burdockshelf
