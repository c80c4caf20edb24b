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

/// The waits between attempts to connect: doubled each time up to a limit, and jittered between half and the whole, so that instances that
/// lost a peer together do not come back together.
class reconnect_backoff
{
public:
    explicit reconnect_backoff(backoff_settings settings);

    boot_clock::duration next(random_source &random);
    /// To be called after a success.
    void reset();

private:
    backoff_settings m_settings;
    boot_clock::duration m_ceiling;
};

} // namespace burdockshelf
