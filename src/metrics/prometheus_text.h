#pragma once

#include "metrics/metric_registry.h"

#include <string>

namespace burdockshelf
{

/// The registry in Prometheus' text format. Latencies become histograms in seconds with fixed bounds, which add up over instances.
std::string prometheusText(const metric_registry &registry, instant now);

} // namespace burdockshelf
