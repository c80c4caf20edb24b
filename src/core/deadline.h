#pragma once

#include "core/boot_clock.h"

#include <compare>

namespace burdockshelf
{

/// The instant at which something expires or times out. State that outlives an event handler holds deadlines rather than durations.
class deadline
{
public:
    /// A deadline at the zero point of the clock, which has always passed.
    constexpr deadline() = default;

    constexpr explicit deadline(instant at)
        : m_at(at)
    {
    }

    static constexpr deadline after(instant now, boot_clock::duration span)
    {
        return deadline(now + span);
    }

    static constexpr deadline never()
    {
        return deadline(instant::max());
    }

    constexpr instant at() const
    {
        return m_at;
    }

    constexpr bool isNever() const
    {
        return m_at == instant::max();
    }

    constexpr bool hasPassed(instant now) const
    {
        return now >= m_at;
    }

    /// Returns the remaining time, or zero once the deadline has passed.
    constexpr boot_clock::duration remaining(instant now) const
    {
        return hasPassed(now) ? boot_clock::duration::zero() : m_at - now;
    }

    friend constexpr auto operator<=>(const deadline &, const deadline &) = default;

private:
    instant m_at;
};

} // namespace burdockshelf
