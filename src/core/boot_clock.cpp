#include "core/boot_clock.h"

#include <ctime>

namespace burdockshelf
{

boot_clock::time_point boot_clock::now() noexcept
{
    timespec time = {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

std::chrono::milliseconds unixTime()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch);
}

} // namespace burdockshelf
