#pragma once

#include "core/deadline.h"
#include "forwarding/quota_messages.h"

#include <map>
#include <vector>

namespace burdockshelf
{

/// The instances that can pass on the records of the store's topics to this one, in order of preference. A reader that has failed is left
/// out for a while, and the next one takes its place. Does no I/O.
class relay_readers
{
public:
    /// Returns true if the readers or their order differ from before.
    bool set(std::vector<peer_instance> readers);
    /// The preferred reader that is not blocked; null when there is none.
    const peer_instance *current(instant now) const;
    /// Leaves a reader out until then. Returns false when it is blocked already or unknown.
    bool block(const instance_id &reader, deadline until, instant now);

private:
    bool isBlocked(const instance_id &reader, instant now) const;

    std::vector<peer_instance> m_readers;
    std::map<instance_id, deadline> m_blockedUntil;
};

/// The instances that this one requests records from, in order of preference, when so many readers serve all instances: the holder of the
/// partition of the quota pool that the hash of the instance picks, then the holders of the next ones. Never contains the instance itself.
std::vector<peer_instance> chooseReaders(const instance_id &self, std::int64_t readers, const std::vector<quota_partition_holder> &holders);

/// The instances that this one requests records from only while the store does not respond to it: holders of the partitions that follow
/// the one that the hash of the instance picks. They begin to read at the store when they are asked. Contains neither the readers nor the
/// instance itself, and as many as leave few instances to ask together with the readers.
std::vector<peer_instance>
chooseOtherHolders(const instance_id &self, const std::vector<peer_instance> &readers, const std::vector<quota_partition_holder> &holders);

} // namespace burdockshelf
