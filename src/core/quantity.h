#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>

namespace burdockshelf
{

/// A signed integer with a unit. Quantities of different units cannot be combined. The only arithmetic operations are addition,
/// subtraction and multiplication by an integer.
template<typename Tag>
class quantity
{
public:
    constexpr quantity() = default;

    constexpr explicit quantity(std::int64_t value)
        : m_value(value)
    {
    }

    constexpr std::int64_t value() const
    {
        return m_value;
    }

    constexpr quantity &operator+=(quantity other)
    {
        m_value += other.m_value;
        return *this;
    }

    constexpr quantity &operator-=(quantity other)
    {
        m_value -= other.m_value;
        return *this;
    }

    friend constexpr quantity operator+(quantity left, quantity right)
    {
        return quantity(left.m_value + right.m_value);
    }

    friend constexpr quantity operator-(quantity left, quantity right)
    {
        return quantity(left.m_value - right.m_value);
    }

    friend constexpr quantity operator*(quantity left, std::int64_t factor)
    {
        return quantity(left.m_value * factor);
    }

    friend constexpr auto operator<=>(const quantity &, const quantity &) = default;

    friend std::ostream &operator<<(std::ostream &stream, quantity amount)
    {
        return stream << amount.m_value;
    }

private:
    std::int64_t m_value = 0;
};

} // namespace burdockshelf

template<typename Tag>
struct std::hash<burdockshelf::quantity<Tag>>
{
    std::size_t operator()(burdockshelf::quantity<Tag> amount) const noexcept
    {
        return std::hash<std::int64_t>()(amount.value());
    }
};
