#pragma once

#include "core/deadline.h"

namespace burdockshelf
{

/// Deadlines of a shutdown, derived from the time until the process is killed; never while no shutdown has begun.
struct shutdown_schedule
{
    /// Until then the load balancer sends new connections here, and streams are judged by how long recent ones lasted.
    deadline estimateStreamsUntil = deadline::never();
    /// Idle connections are closed from then on, because callers that reconnect reach other instances.
    deadline closeIdleFrom = deadline::never();
    /// The instance ends when all responses have been sent, but not before this time.
    deadline endFrom = deadline::never();
    /// Every request has its response by then, or is answered that it has none.
    deadline finishRequestsBy = deadline::never();
    /// The responses have been written; the connections are closed and the instance leaves its group.
    deadline closeBy = deadline::never();

    shutdown_schedule() = default;
    shutdown_schedule(instant begun, std::chrono::milliseconds gracePeriod);
};

} // namespace burdockshelf
