#pragma once

#include "core/boot_clock.h"
#include "core/random_source.h"

#include <algorithm>

namespace burdockshelf
{

/// Growing waits between retries, each drawn from the upper half of its range so that those who failed together do not return together.
class backoff
{
public:
    backoff(boot_clock::duration least, boot_clock::duration most)
        : m_least(least)
        , m_most(most)
        , m_next(least)
    {
    }

    /// The wait before the next try; doubles the range up to the limit.
    boot_clock::duration next(random_source &random)
    {
        const auto range = static_cast<double>(m_next.count());
        m_next = std::min(m_next * 2, m_most);
        return boot_clock::duration(static_cast<boot_clock::rep>(range * (1.0 + random.uniform()) / 2.0));
    }

    /// Begins anew after a success.
    void reset()
    {
        m_next = m_least;
    }

private:
    boot_clock::duration m_least;
    boot_clock::duration m_most;
    boot_clock::duration m_next;
};

} // namespace burdockshelf
