#pragma once

#include "core/deadline.h"

namespace burdockshelf
{

/// Deadlines of a shutdown, derived from the time until the process is killed; never while no shutdown has begun.
struct shutdown_schedule
{
    /// The load balancer has had the time to notice that the instance is not ready; few new connections arrive after it.
    deadline outOfRotationBy = deadline::never();
    /// Every request has its response by then, or is answered that it has none.
    deadline finishRequestsBy = deadline::never();
    /// The responses have been written; the connections are closed and the instance leaves its group.
    deadline closeBy = deadline::never();

    shutdown_schedule() = default;
    shutdown_schedule(instant begun, std::chrono::milliseconds gracePeriod);
};

} // namespace burdockshelf
