#pragma once

#include "mesh/mesh_messages.h"

namespace burdockshelf
{

/// The sinks of the tasks that handle messages from peers.
struct peer_sinks
{
    sink<peer_message_received> configuration;
    sink<peer_message_received> roster;
    sink<peer_message_received> quota;
    sink<peer_message_received> slots;
    sink<peer_message_received> pool;
    sink<peer_message_received> topics;
    sink<peer_message_received> streams;

    /// Returns the sink for a kind of message; null for responses, which a peer must not send as requests.
    const sink<peer_message_received> *find(const peer_message &message) const;
};

} // namespace burdockshelf
