#pragma once

#include "mesh/mesh_messages.h"

#include <map>
#include <vector>

namespace burdockshelf
{

/// What a new instance list changes. A peer whose incarnation, data centre or address differs is both left and joined.
struct peer_changes
{
    std::vector<peer> left;
    std::vector<peer> joined;
};

/// The peers of the latest instance list: every instance but this one.
class peer_set
{
public:
    explicit peer_set(instance_id self);

    /// When the list holds an instance twice, a live entry goes before a leaving one, then the later entry before the earlier.
    peer_changes update(const instance_list &list);

private:
    instance_id m_self;
    std::map<instance_id, peer> m_peers;
};

} // namespace burdockshelf
