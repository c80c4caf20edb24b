#pragma once

#include "mesh/mesh_messages.h"

#include <vector>

namespace burdockshelf
{

/// Tells several tasks whether a peer is up. A status that a full mailbox has refused is kept until retry() delivers it or a newer one
/// takes its place.
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
        bool isBehind = false;
    };

    std::vector<receiver> m_receivers;
    peer_status m_latest;
};

} // namespace burdockshelf
