#pragma once

#include "forwarding/reservation_queue.h"
#include "forwarding/room_monitor.h"

#include <functional>
#include <map>
#include <vector>

namespace burdockshelf
{

/// Capacity of one service whose requests have different priorities, as observed by this instance, and the requests that wait for it.
struct shared_capacity
{
    room_monitor monitor;
    reservation_queue queue;
};

/// The state that the searches for capacity of an instance share, by service. Services whose requests all have the same priority have none.
class capacity_sharing
{
public:
    shared_capacity &of(const service_id &service);
    /// Capacity has become free at an endpoint, because a request of this instance has ended there.
    void noteFreed(const service_id &service, const endpoint_id &endpoint, instant now);
    /// The requests to which capacity was offered since the last call; their next round is due.
    std::vector<flow_id> takeWoken();
    /// Waiting requests of the first rank, or of all later ones.
    std::size_t waiting(bool isFirstRank) const;

private:
    std::map<service_id, shared_capacity> m_services;
    std::vector<flow_id> m_woken;
};

} // namespace burdockshelf
