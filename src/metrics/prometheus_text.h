#pragma once

#include "metrics/metric_registry.h"

#include <string>

namespace burdockshelf
{

/// Formats the registry in the Prometheus text format. Latencies are exported as histograms in seconds with fixed bounds, so that the
/// histograms of several instances can be summed.
std::string prometheusText(const metric_registry &registry, instant now);

} // namespace burdockshelf
