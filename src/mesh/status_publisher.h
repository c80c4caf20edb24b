#pragma once

#include "mesh/mesh_messages.h"

#include <vector>

namespace burdockshelf
{

/// Posts a peer's connection status to several tasks. A status that a full mailbox has refused is kept until retry() delivers it or a newer
/// status replaces it.
class status_publisher
{
public:
    explicit status_publisher(std::vector<sink<peer_status>> sinks);

    void publish(const peer_status &status);
    void retry();

private:
    struct receiver
    {
        sink<peer_status> to;
        bool isDeliveryPending = false;
    };

    std::vector<receiver> m_receivers;
    peer_status m_latest;
};

} // namespace burdockshelf
