#pragma once

#include "state/log_record.h"

#include <string_view>
#include <vector>

namespace burdockshelf
{

/// The member that owns an object, by rendezvous hashing: every member works out the same owner, and a change of the roster moves only the
/// objects of the members that changed. Null without members.
const roster_member *ownerOf(std::string_view key, const std::vector<roster_member> &members);

} // namespace burdockshelf
