#pragma once

#include "core/boot_clock.h"
#include "core/deadline.h"
#include "forwarding/traffic_plan.h"

#include <optional>
#include <unordered_map>

namespace burdockshelf
{

/// How long requests of each route have lasted recently on this instance.
class route_durations
{
public:
    void note(const route_id &route, boot_clock::duration took, instant now);
    /// The longest time of the present period and the one before; nothing if no request of the route has ended in them.
    std::optional<boot_clock::duration> longest(const route_id &route, instant now) const;

private:
    struct history
    {
        deadline periodEnds;
        boot_clock::duration longestInPeriod {};
        boot_clock::duration longestBefore {};
    };

    std::unordered_map<route_id, history> m_routes;
};

} // namespace burdockshelf
