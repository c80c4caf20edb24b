#pragma once

#include "metrics/metric_batch.h"

#include <string>
#include <variant>

namespace burdockshelf
{

/// Whether this instance accepts new connections, and the reason if it does not.
struct readiness_report
{
    bool isReady = false;
    std::string reason;
};

using monitor_message = std::variant<readiness_report, metric_batch>;

} // namespace burdockshelf
