#pragma once

#include "core/boot_clock.h"
#include "core/random_source.h"

#include <algorithm>

namespace burdockshelf
{

/// Exponential backoff with jitter. Each delay is drawn from the upper half of the current range, so that callers that failed at the same
/// time do not retry at the same time.
class backoff
{
public:
    backoff(boot_clock::duration minimum, boot_clock::duration maximum)
        : m_minimum(minimum)
        , m_maximum(maximum)
        , m_range(minimum)
    {
    }

    /// Returns the delay before the next attempt and doubles the range, up to the maximum.
    boot_clock::duration next(random_source &random)
    {
        const auto range = static_cast<double>(m_range.count());
        m_range = std::min(m_range * 2, m_maximum);
        return boot_clock::duration(static_cast<boot_clock::rep>(range * (1.0 + random.uniform()) / 2.0));
    }

    /// Returns to the minimum range. Called after a success.
    void reset()
    {
        m_range = m_minimum;
    }

private:
    boot_clock::duration m_minimum;
    boot_clock::duration m_maximum;
    boot_clock::duration m_range;
};

} // namespace burdockshelf
