#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// Selects the children that a supervisor restarts when one of them fails.
class restart_strategy
{
public:
    virtual ~restart_strategy() = default;

    virtual std::string_view name() const = 0;
    /// Indexes of the children to restart, in start order.
    virtual std::vector<std::size_t> affected(std::size_t failed, std::size_t childCount) const = 0;
};

/// Restarts only the failed child.
class one_for_one : public restart_strategy
{
public:
    std::string_view name() const override;
    std::vector<std::size_t> affected(std::size_t failed, std::size_t childCount) const override;
};

/// Restarts the failed child and all children started after it, since they may depend on it.
class rest_for_one : public restart_strategy
{
public:
    std::string_view name() const override;
    std::vector<std::size_t> affected(std::size_t failed, std::size_t childCount) const override;
};

} // namespace burdockshelf
