#pragma once

#include "core/socket_address.h"
#include "mesh/http2_session.h"
#include "mesh/reconnect_backoff.h"
#include "wire/peer_hello.h"

#include <chrono>
#include <cstddef>

namespace burdockshelf
{

/// Settings of the mesh tasks.
struct mesh_settings
{
    /// Identity of this instance, sent to peers.
    peer_hello self;
    socket_address listenAddress;
    std::chrono::milliseconds heartbeatInterval {500};
    /// A connection on which no heartbeat is answered for this long is closed.
    std::chrono::milliseconds heartbeatTimeout {1500};
    /// Time limit for connect and hello together.
    std::chrono::milliseconds connectTimeout {2000};
    /// Time that a shutdown allows for open exchanges to end.
    std::chrono::milliseconds drainTime {2000};
    backoff_settings backoff;
    http2_limits limits;
    /// Maximum number of connections of the listener: twice the instances of the largest fleet, since connections of old and new
    /// incarnations overlap.
    std::size_t maxConnections = 1024;
    std::size_t peerMailboxCapacity = 1024;
};

} // namespace burdockshelf
