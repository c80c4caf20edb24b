#pragma once

#include "core/boot_clock.h"
#include "core/random_source.h"

#include <chrono>

namespace burdockshelf
{

struct backoff_settings
{
    std::chrono::milliseconds least {100};
    std::chrono::milliseconds most {10000};
};

/// Exponential backoff between connection attempts: the ceiling doubles with each attempt up to a limit, and each wait is chosen at random
/// between half the ceiling and the ceiling, so that instances that lost a peer at the same time do not reconnect at the same time.
class reconnect_backoff
{
public:
    explicit reconnect_backoff(backoff_settings settings);

    boot_clock::duration next(random_source &random);
    /// Restarts at the shortest wait; to be called after a successful connection.
    void reset();

private:
    backoff_settings m_settings;
    boot_clock::duration m_ceiling;
};

} // namespace burdockshelf
