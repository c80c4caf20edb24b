#pragma once

#include <chrono>

namespace burdockshelf
{

/// Monotonic clock that includes the time during which the machine was suspended (CLOCK_BOOTTIME), so that a process detects after a
/// suspension that its leases have expired.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept;
};

/// A point in time on this machine's boot clock. Not comparable with instants of other machines.
using instant = boot_clock::time_point;

/// Milliseconds since the Unix epoch, for timestamps that are sent to other machines or shown to people.
std::chrono::milliseconds unixTime();

} // namespace burdockshelf
