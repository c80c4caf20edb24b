#pragma once

#include "core/deadline.h"
#include "forwarding/endpoint_entry.h"

#include <map>

namespace burdockshelf
{

/// The endpoint processes that were removed in the last minute. A copy of the store that is some seconds old may still list them. Does no
/// I/O. Owned by fleet_state.
class departed_endpoints
{
public:
    void note(const endpoint_process &process, instant now);
    /// True if this process, or a later one under its id, was removed within the last minute.
    bool includes(const endpoint_process &process, instant now) const;

private:
    struct departure
    {
        endpoint_start_time startTime;
        deadline forgetAt;
    };

    std::map<endpoint_id, departure> m_departures;
};

} // namespace burdockshelf
