#include "mesh/peer_set.h"

#include <utility>

namespace burdockshelf
{

namespace
{

std::map<instance_id, listed_instance> latestEntries(const instance_list &list, const instance_id &self)
{
    std::map<instance_id, listed_instance> entries;
    for (const listed_instance &entry : list.instances) {
        if (entry.instance == self) {
            continue;
        }
        const auto [place, isNew] = entries.try_emplace(entry.instance, entry);
        const bool takesPrecedence = entry.state == instance_state::live || place->second.state == instance_state::leaving;
        if (!isNew && takesPrecedence) {
            place->second = entry;
        }
    }
    return entries;
}

} // namespace

peer_set::peer_set(instance_id self)
    : m_self(std::move(self))
{
}

peer_changes peer_set::update(const instance_list &list)
{
    std::map<instance_id, peer> next;
    for (const auto &[instance, entry] : latestEntries(list, m_self)) {
        next[instance] = {entry.instance, entry.incarnation, entry.dataCentre, entry.mesh};
    }
    peer_changes changes;
    for (const auto &[instance, known] : m_peers) {
        const auto found = next.find(instance);
        if (found == next.end() || found->second != known) {
            changes.left.push_back(known);
        }
    }
    for (const auto &[instance, wanted] : next) {
        const auto found = m_peers.find(instance);
        if (found == m_peers.end() || found->second != wanted) {
            changes.joined.push_back(wanted);
        }
    }
    m_peers = std::move(next);
    return changes;
}

} // namespace burdockshelf
