#pragma once

#include "core/ids.h"
#include "metrics/latency_sketch.h"
#include "metrics/service_level_tracker.h"

#include <cstdint>
#include <string>
#include <vector>

namespace burdockshelf
{

/// A label of a metric, for example service="search". Values come from the configuration and never from callers.
struct metric_label
{
    std::string name;
    std::string value;

    friend auto operator<=>(const metric_label &, const metric_label &) = default;
};

/// Name and labels of a time series. Metrics have no workspace label, since it would create 11,000 series for each metric.
struct metric_name
{
    std::string name;
    std::vector<metric_label> labels;

    friend auto operator<=>(const metric_name &, const metric_name &) = default;
};

struct counter_increment
{
    metric_name metric;
    std::uint64_t amount = 1;
};

struct gauge_value
{
    metric_name metric;
    double value = 0.0;
};

struct latency_sample
{
    metric_name metric;
    latency_sketch::duration value {};
};

struct service_level_event
{
    workspace_id workspace;
    urgency_class_id urgency;
    service_level_outcome cause = service_level_outcome::good;
    std::uint64_t events = 1;
};

/// Metric updates of a task since its previous batch.
struct metric_batch
{
    std::vector<counter_increment> counters;
    std::vector<gauge_value> gauges;
    std::vector<latency_sample> latencies;
    std::vector<service_level_event> burn;
};

} // namespace burdockshelf
