#pragma once

#include "core/socket_address.h"
#include "mesh/http2_session.h"
#include "mesh/reconnect_backoff.h"
#include "wire/peer_hello.h"

#include <chrono>
#include <cstddef>

namespace burdockshelf
{

/// What the tasks of the mesh are started with.
struct mesh_settings
{
    /// Who this instance is.
    peer_hello self;
    socket_address listenAddress;
    std::chrono::milliseconds heartbeatInterval {500};
    /// A connection whose heartbeats are not answered for this long is given up.
    std::chrono::milliseconds heartbeatTimeout {1500};
    /// Time for connect and hello together.
    std::chrono::milliseconds connectTimeout {2000};
    /// Time for open exchanges to end at a shutdown.
    std::chrono::milliseconds drainTime {2000};
    backoff_settings backoff;
    http2_limits limits;
    /// Connections that the listener keeps. Twice the instances of the largest fleet, since old and new incarnations overlap.
    std::size_t maxConnections = 1024;
    std::size_t peerMailboxCapacity = 1024;
};

} // namespace burdockshelf
