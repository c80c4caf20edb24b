#include "forwarding/capacity_sharing.h"

#include <utility>

namespace burdockshelf
{

shared_capacity &capacity_sharing::of(const service_id &service)
{
    return m_services[service];
}

void capacity_sharing::noteFreed(const service_id &service, const endpoint_id &endpoint, instant now)
{
    const auto known = m_services.find(service);
    if (known == m_services.end()) {
        return;
    }
    if (const std::optional<flow_id> woken = known->second.queue.offer(endpoint, now)) {
        m_woken.push_back(*woken);
    }
}

std::vector<flow_id> capacity_sharing::takeWoken()
{
    return std::exchange(m_woken, {});
}

std::size_t capacity_sharing::waiting(bool isFirstRank) const
{
    std::size_t total = 0;
    for (const auto &[service, capacity] : m_services) {
        const std::size_t first = capacity.queue.sizeOf(priority_rank(0));
        total += isFirstRank ? first : capacity.queue.size() - first;
    }
    return total;
}

} // namespace burdockshelf
