#pragma once

#include <chrono>

namespace burdockshelf
{

/// Clock that never goes back and counts the time that the machine was suspended (CLOCK_BOOTTIME). A process that was paused sees on it
/// that its leases have lapsed.
struct boot_clock
{
    using duration = std::chrono::nanoseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<boot_clock>;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    static time_point now() noexcept;
};

/// A point in time on this machine's boot clock; meaningless on another machine.
using instant = boot_clock::time_point;

/// Milliseconds since the Unix epoch, for times that go to other machines or to people.
std::chrono::milliseconds unixTime();

} // namespace burdockshelf
