#pragma once

#include "core/boot_clock.h"

namespace burdockshelf
{

/// Safety margin for an interval that another clock measures too: 1% for the drift between the two clocks and 200 ms for scheduling delays.
constexpr boot_clock::duration leaseMargin(boot_clock::duration interval)
{
    return interval / 100 + std::chrono::milliseconds(200);
}

/// The interval on the local clock after which another clock has certainly measured the given interval.
constexpr boot_clock::duration withMargin(boot_clock::duration interval)
{
    return interval + leaseMargin(interval);
}

} // namespace burdockshelf
