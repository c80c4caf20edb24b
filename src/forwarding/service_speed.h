#pragma once

#include "core/boot_clock.h"
#include "forwarding/running_median.h"

#include <chrono>
#include <optional>

namespace burdockshelf
{

/// What work of a service usually takes, over all of its endpoints, and whether the endpoints report how long work takes.
struct service_speed
{
    /// When an endpoint has last reported a figure, to this instance or to another one.
    std::optional<instant> figureSeenAt;
    /// Seconds to the first byte of the response to a plain call.
    running_median plainCall;
    /// Seconds of a prefill for each token of its prompt.
    running_median prefillToken;
    /// Seconds to the first event of a decode that uses the result of a prefill.
    running_median firstEvent;
    /// Mean number of requests of other instances at an endpoint, according to the load reports.
    double meanRequestsOfOthers = 0.0;
    /// The shortest latency target of the service's routes; zero if not known.
    std::chrono::milliseconds target {};

    bool isReporting(instant now) const;
};

} // namespace burdockshelf
