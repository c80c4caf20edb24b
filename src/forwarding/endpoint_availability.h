#pragma once

#include "core/deadline.h"

#include <cstdint>

namespace burdockshelf
{

/// Whether an endpoint may get a new request, and why not.
enum class availability_condition
{
    available,
    /// No such endpoint is registered.
    unknown,
    /// The endpoint has said in a response that it leaves.
    leaving,
    /// Its entry says that it leaves.
    draining,
    /// Another endpoint has responded at its address.
    misdirected,
    /// Its data centre has been taken out of service.
    evacuated,
    /// Its version must not get requests, or no more of them, under the rollout of its service.
    not_exposed,
    /// It wants no requests from this instance for some time.
    pausing,
    /// Its pause is over, and the first request since then has not been answered yet.
    probing,
};

struct endpoint_availability
{
    availability_condition condition = availability_condition::unknown;
    /// When the condition ends; never if that is not known.
    deadline until = deadline::never();

    bool mayReceive() const
    {
        return condition == availability_condition::available;
    }
};

/// The endpoints of a service that could serve a kind of attempt, by their conditions.
struct service_availability
{
    std::int64_t available = 0;
    std::int64_t leaving = 0;
    std::int64_t pausing = 0;
    /// The earliest end of a pause; never when no endpoint is pausing.
    deadline pauseEnds = deadline::never();
};

} // namespace burdockshelf
