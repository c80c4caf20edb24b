#include "gateway/shutdown_schedule.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// Reserved at the end of the grace period for closing the connections and for leaving the group; the latter waits for the store for part
// of this time.
constexpr milliseconds closeMargin {400};
// Reserved before that for writing the last responses.
constexpr milliseconds writeMargin {300};
// The load balancer takes an instance out after two readiness checks that failed, one a second.
constexpr milliseconds rotationDelay {2000};
// With a short grace period, that time is limited to the grace period divided by this number.
constexpr std::int64_t rotationDivisor = 4;

} // namespace

shutdown_schedule::shutdown_schedule(instant begun, milliseconds gracePeriod)
    : outOfRotationBy(deadline::after(begun, std::min(rotationDelay, gracePeriod / rotationDivisor)))
    , finishRequestsBy(deadline::after(begun, std::max(gracePeriod - closeMargin - writeMargin, milliseconds::zero())))
    , closeBy(deadline::after(begun, std::max(gracePeriod - closeMargin, milliseconds::zero())))
{
}

} // namespace burdockshelf
