#include "runtime/restart_strategy.h"

namespace burdockshelf
{

std::string_view one_for_one::name() const
{
    return "one_for_one";
}

std::vector<std::size_t> one_for_one::affected(std::size_t failed, std::size_t /*childCount*/) const
{
    return {failed};
}

std::string_view rest_for_one::name() const
{
    return "rest_for_one";
}

std::vector<std::size_t> rest_for_one::affected(std::size_t failed, std::size_t childCount) const
{
    std::vector<std::size_t> children;
    for (std::size_t i = failed; i < childCount; ++i) {
        children.push_back(i);
    }
    return children;
}

} // namespace burdockshelf
