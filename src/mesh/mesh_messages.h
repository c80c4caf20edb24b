#pragma once

#include "core/deadline.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "core/socket_address.h"
#include "log_service/log_service_messages.h"
#include "policy/peer_message.h"
#include "runtime/sink.h"

#include <cstdint>
#include <variant>

namespace burdockshelf
{

/// A peer instance as the mesh knows it.
struct peer
{
    instance_id instance;
    incarnation_id incarnation;
    data_centre_id dataCentre;
    socket_address address;

    friend bool operator==(const peer &, const peer &) = default;
};

/// The end of an exchange: the peer's answer, or why there is none.
struct peer_response
{
    std::uint64_t exchange = 0;
    instance_id from;
    outcome<peer_message> answer;
};

/// Asks peer_task to send a message. The sender's number comes back in the answer.
struct peer_request
{
    std::uint64_t exchange = 0;
    peer_message message;
    deadline until;
    sink<peer_response> reply;
};

/// A message for one peer, from a task that does not know the peers' tasks.
struct peer_envelope
{
    instance_id to;
    peer_request send;
};

using peer_task_message = std::variant<peer_request>;

using mesh_supervisor_message = std::variant<instance_list, peer_envelope>;

/// The answer of the task that a received message concerns, on its way back to the connection it came by.
struct listener_reply
{
    std::uint64_t connection = 0;
    std::int64_t stream = 0;
    peer_message message;
};

using mesh_listener_message = std::variant<listener_reply>;

/// The address that the listener was given by the kernel.
struct mesh_listening
{
    socket_address address;
};

/// A message of a peer, for the task that it concerns; answered through the reply sink. The peer's incarnation is the one it claims, and
/// its address is that of the connection, not the one it listens on.
struct peer_message_received
{
    peer from;
    peer_message message;
    sink<peer_message> reply;
};

/// A connection to a peer is up and heartbeats are answered, or no longer so.
struct peer_status
{
    peer who;
    bool isUp = false;
};

} // namespace burdockshelf
