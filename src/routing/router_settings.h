#pragma once

#include "core/ids.h"

#include <chrono>
#include <cstddef>
#include <string>

namespace burdockshelf
{

/// Settings of an instance's router. Durations become deadlines when a request needs them.
struct router_settings
{
    data_centre_id dataCentre;
    /// Names of the strategies, see makePlacementStrategy() and makeQueueOrder().
    std::string placement = "affinity";
    std::string queueOrder = "fair";
    std::chrono::milliseconds chargeTimeout {500};
    std::chrono::milliseconds slotTimeout {1000};
    std::chrono::milliseconds claimTimeout {5000};
    std::chrono::milliseconds prefillTimeout {60000};
    std::chrono::milliseconds firstEventTimeout {10000};
    std::chrono::milliseconds betweenEventsTimeout {5000};
    std::chrono::milliseconds plainTimeout {30000};
    /// Maximum number of requests of one service that reserve slots at the same time.
    std::size_t concurrentReservations = 8;
    std::size_t maxRequests = 20000;
    /// Minimum interval between two reports of queue lengths and metrics.
    std::chrono::milliseconds reportInterval {1000};
};

} // namespace burdockshelf
