#include "gateway/shutdown_schedule.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// The load balancer takes an instance out after two readiness checks that failed, one a second.
constexpr milliseconds rotationDelay {2000};
// The second check may be answered, and the last connection made, a little later.
constexpr milliseconds rotationMargin {500};
// Streams are judged by an estimate for no longer than the grace period divided by this number.
constexpr std::int64_t estimateDivisor = 4;
// Callers have this long after the load balancer to close the connections of their last responses.
constexpr milliseconds lastResponsesTime {1000};
// Reserved at the end of the grace period for closing the connections and for leaving the group; the latter waits for the store for part
// of this time.
constexpr milliseconds closeMargin {400};
// Reserved before that for writing the last responses.
constexpr milliseconds writeMargin {300};

} // namespace

shutdown_schedule::shutdown_schedule(instant begun, milliseconds gracePeriod)
    : estimateStreamsUntil(deadline::after(begun, std::min(rotationDelay, gracePeriod / estimateDivisor)))
    , closeIdleFrom(deadline::after(begun, rotationDelay + rotationMargin))
    , endFrom(deadline::after(closeIdleFrom.at(), lastResponsesTime))
    , finishRequestsBy(deadline::after(begun, std::max(gracePeriod - closeMargin - writeMargin, milliseconds::zero())))
    , closeBy(deadline::after(begun, std::max(gracePeriod - closeMargin, milliseconds::zero())))
{
}

} // namespace burdockshelf
