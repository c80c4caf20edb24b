#include "policy/rendezvous.h"

#include "core/digest.h"

#include <string>
#include <utility>

namespace burdockshelf
{

const roster_member *ownerOf(std::string_view key, const std::vector<roster_member> &members)
{
    const roster_member *owner = nullptr;
    std::uint64_t highest = 0;
    for (const roster_member &member : members) {
        const std::uint64_t weight = stableHash(std::string(key) + "\n" + member.incarnation.value());
        if (owner == nullptr || std::pair(weight, member) > std::pair(highest, *owner)) {
            owner = &member;
            highest = weight;
        }
    }
    return owner;
}

} // namespace burdockshelf
