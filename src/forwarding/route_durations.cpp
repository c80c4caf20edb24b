#include "forwarding/route_durations.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

constexpr std::chrono::seconds period {20};

} // namespace

void route_durations::note(const route_id &route, boot_clock::duration took, instant now)
{
    history &known = m_routes[route];
    if (known.periodEnds.hasPassed(now)) {
        const bool isBeforeRecent = !deadline::after(known.periodEnds.at(), period).hasPassed(now);
        known.longestBefore = isBeforeRecent ? known.longestInPeriod : boot_clock::duration::zero();
        known.longestInPeriod = boot_clock::duration::zero();
        known.periodEnds = deadline::after(now, period);
    }
    known.longestInPeriod = std::max(known.longestInPeriod, took);
}

std::optional<boot_clock::duration> route_durations::longest(const route_id &route, instant now) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || deadline::after(found->second.periodEnds.at(), period).hasPassed(now)) {
        return std::nullopt;
    }
    return std::max(found->second.longestInPeriod, found->second.longestBefore);
}

} // namespace burdockshelf
