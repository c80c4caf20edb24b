#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace burdockshelf
{

/// A string identifier with a tag type, so that ids of different kinds cannot be mixed up. Values are compared byte by byte.
template<typename Tag>
class strong_id
{
public:
    strong_id() = default;

    explicit strong_id(std::string value)
        : m_value(std::move(value))
    {
    }

    const std::string &value() const
    {
        return m_value;
    }

    bool isEmpty() const
    {
        return m_value.empty();
    }

    friend auto operator<=>(const strong_id &, const strong_id &) = default;

    friend std::ostream &operator<<(std::ostream &stream, const strong_id &id)
    {
        return stream << id.m_value;
    }

private:
    std::string m_value;
};

} // namespace burdockshelf

template<typename Tag>
struct std::hash<burdockshelf::strong_id<Tag>>
{
    std::size_t operator()(const burdockshelf::strong_id<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.value());
    }
};
