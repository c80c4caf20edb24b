#pragma once

#include "metrics/metric_batch.h"

#include <string>
#include <variant>

namespace burdockshelf
{

/// Whether this instance tells the load balancer that it is ready for new connections, and the reason if it is not. The listener accepts
/// connections in either case, also while the instance drains.
struct readiness_report
{
    bool isReady = false;
    std::string reason;
};

using monitor_message = std::variant<readiness_report, metric_batch>;

} // namespace burdockshelf
