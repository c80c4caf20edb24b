#include "gateway/relay_readers.h"

#include "core/digest.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

// With more alternatives, the instances of a data centre that is cut off would try every reader beyond the partition.
constexpr std::size_t maxReaders = 3;

bool contains(const std::vector<peer_instance> &instances, const peer_instance &one)
{
    return std::find(instances.begin(), instances.end(), one) != instances.end();
}

} // namespace

bool relay_readers::set(std::vector<peer_instance> readers)
{
    if (readers == m_readers) {
        return false;
    }
    m_readers = std::move(readers);
    std::erase_if(m_blockedUntil, [this](const auto &blocked) {
        return std::none_of(
            m_readers.begin(), m_readers.end(), [&](const peer_instance &reader) { return reader.instance == blocked.first; });
    });
    return true;
}

const peer_instance *relay_readers::current(instant now) const
{
    const auto found =
        std::find_if(m_readers.begin(), m_readers.end(), [&](const peer_instance &reader) { return !isBlocked(reader.instance, now); });
    return found == m_readers.end() ? nullptr : &*found;
}

bool relay_readers::block(const instance_id &reader, deadline until, instant now)
{
    const bool isKnown =
        std::any_of(m_readers.begin(), m_readers.end(), [&](const peer_instance &known) { return known.instance == reader; });
    if (!isKnown || isBlocked(reader, now)) {
        return false;
    }
    m_blockedUntil[reader] = until;
    return true;
}

bool relay_readers::isBlocked(const instance_id &reader, instant now) const
{
    const auto found = m_blockedUntil.find(reader);
    return found != m_blockedUntil.end() && !found->second.hasPassed(now);
}

std::vector<peer_instance> chooseReaders(const instance_id &self, std::int64_t readers, const std::vector<quota_partition_holder> &holders)
{
    std::vector<peer_instance> chosen;
    const auto first = static_cast<std::int64_t>(stableHash(self.value()) % static_cast<std::uint64_t>(readers));
    for (std::int64_t next = 0; next < std::min(readers, static_cast<std::int64_t>(maxReaders)); ++next) {
        const std::int64_t partition = (first + next) % readers;
        const auto found = std::find_if(
            holders.begin(), holders.end(), [&](const quota_partition_holder &one) { return one.quotaPartition.value() == partition; });
        if (found == holders.end() || found->holder.instance == self) {
            continue;
        }
        if (!contains(chosen, found->holder)) {
            chosen.push_back(found->holder);
        }
    }
    return chosen;
}

std::vector<peer_instance>
chooseOtherHolders(const instance_id &self, const std::vector<peer_instance> &readers, const std::vector<quota_partition_holder> &holders)
{
    std::vector<peer_instance> chosen;
    if (holders.empty()) {
        return chosen;
    }
    // Different instances begin with different holders, so that a failure that many have in common does not make all of them ask the same.
    const std::size_t first = stableHash(self.value()) % holders.size();
    for (std::size_t next = 0; next < holders.size() && readers.size() + chosen.size() < maxReaders; ++next) {
        const peer_instance &holder = holders[(first + next) % holders.size()].holder;
        if (holder.instance != self && !contains(readers, holder) && !contains(chosen, holder)) {
            chosen.push_back(holder);
        }
    }
    return chosen;
}

} // namespace burdockshelf
