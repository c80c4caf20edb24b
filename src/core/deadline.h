#pragma once

#include "core/boot_clock.h"

#include <compare>

namespace burdockshelf
{

/// The instant until which something is valid or allowed to take. What is kept between two events is a deadline, not a duration.
class deadline
{
public:
    /// A deadline that has always passed.
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

    /// Time left, zero once the deadline has passed.
    constexpr boot_clock::duration remaining(instant now) const
    {
        return hasPassed(now) ? boot_clock::duration::zero() : m_at - now;
    }

    friend constexpr auto operator<=>(const deadline &, const deadline &) = default;

private:
    instant m_at;
};

} // namespace burdockshelf
