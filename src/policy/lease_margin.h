#pragma once

#include "core/boot_clock.h"

namespace burdockshelf
{

/// What is added to an interval that another clock measures too: 1% for the drift between two clocks and 200 ms for scheduling.
constexpr boot_clock::duration leaseMargin(boot_clock::duration interval)
{
    return interval / 100 + std::chrono::milliseconds(200);
}

/// The interval after which another clock has surely counted the same interval.
constexpr boot_clock::duration withMargin(boot_clock::duration interval)
{
    return interval + leaseMargin(interval);
}

} // namespace burdockshelf
