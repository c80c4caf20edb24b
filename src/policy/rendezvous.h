#pragma once

#include "state/log_record.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// The owner of a key by rendezvous hashing: the member with the highest hash of key, instance and incarnation. A change of the roster
/// moves only the keys of members that join or leave. Null for an empty roster.
const roster_member *rendezvousOwner(std::string_view key, const std::vector<roster_member> &members);

/// Position of a member in the key's order of preference; 0 is the owner.
std::size_t rendezvousRank(std::string_view key, const std::vector<roster_member> &members, const roster_member &member);

} // namespace burdockshelf
