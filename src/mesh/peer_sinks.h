#pragma once

#include "mesh/mesh_messages.h"

namespace burdockshelf
{

/// The tasks that messages of peers concern.
struct peer_sinks
{
    sink<peer_message_received> configuration;
    sink<peer_message_received> roster;
    sink<peer_message_received> quota;
    sink<peer_message_received> slots;
    sink<peer_message_received> pool;
    sink<peer_message_received> topics;

    /// The sink for a kind of message; null for answers, which no peer may send unasked.
    const sink<peer_message_received> *find(const peer_message &message) const;
};

} // namespace burdockshelf
