#include "mesh/status_publisher.h"

#include <utility>

namespace burdockshelf
{

status_publisher::status_publisher(std::vector<sink<peer_status>> sinks)
{
    for (sink<peer_status> &to : sinks) {
        m_receivers.push_back({std::move(to)});
    }
}

void status_publisher::publish(const peer_status &status)
{
    m_latest = status;
    for (receiver &entry : m_receivers) {
        entry.isDeliveryPending = true;
    }
    retry();
}

void status_publisher::retry()
{
    for (receiver &entry : m_receivers) {
        if (entry.isDeliveryPending) {
            entry.isDeliveryPending = entry.to.post(m_latest) == post_result::full;
        }
    }
}

} // namespace burdockshelf
