#pragma once

#include "core/deadline.h"

namespace burdockshelf
{

/// Deadlines of a shutdown, derived from the time until the process is killed.
struct shutdown_schedule
{
    /// Every request has its response by then, or is answered that it has none.
    deadline finishRequestsBy;
    /// The responses have been written; the connections are closed and the instance leaves its group.
    deadline closeBy;

    shutdown_schedule() = default;
    shutdown_schedule(instant begun, std::chrono::milliseconds gracePeriod);
};

} // namespace burdockshelf
