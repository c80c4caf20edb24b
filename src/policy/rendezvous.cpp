#include "policy/rendezvous.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

std::pair<std::uint64_t, const roster_member &> weight(std::string_view key, const roster_member &member)
{
    return {stableHash(member.instance.value() + '/' + member.incarnation.value(), stableHash(key)), member};
}

} // namespace

const roster_member *rendezvousOwner(std::string_view key, const std::vector<roster_member> &members)
{
    const auto isLower = [key](const auto &left, const auto &right) {
        return weight(key, left) < weight(key, right);
    };
    const auto best = std::max_element(members.begin(), members.end(), isLower);
    return best == members.end() ? nullptr : &*best;
}

std::size_t rendezvousRank(std::string_view key, const std::vector<roster_member> &members, const roster_member &member)
{
    const auto own = weight(key, member);
    return std::count_if(members.begin(), members.end(), [&](const auto &other) { return own < weight(key, other); });
}

} // namespace burdockshelf
