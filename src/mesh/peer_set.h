#pragma once

#include "mesh/mesh_messages.h"

#include <map>
#include <vector>

namespace burdockshelf
{

/// Differences between two instance lists. A peer whose incarnation, data centre or address changed is in both vectors.
struct peer_changes
{
    std::vector<peer> left;
    std::vector<peer> joined;
};

/// The peers in the latest instance list: every instance except this one.
class peer_set
{
public:
    explicit peer_set(instance_id self);

    /// Replaces the list and returns the differences. When the list contains an instance twice, a live entry takes precedence over a
    /// leaving one, and of two entries in the same state the later one counts.
    peer_changes update(const instance_list &list);

private:
    instance_id m_self;
    std::map<instance_id, peer> m_peers;
};

} // namespace burdockshelf
