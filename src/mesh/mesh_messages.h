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

/// Identity and address of another instance.
struct peer
{
    instance_id instance;
    incarnation_id incarnation;
    data_centre_id dataCentre;
    socket_address address;

    friend bool operator==(const peer &, const peer &) = default;
};

/// The end of an exchange: the peer's response, or the error that ended it.
struct peer_response
{
    std::uint64_t exchange = 0;
    instance_id from;
    outcome<peer_message> answer;
};

/// Asks peer_task to send a message. The exchange number chosen by the sender is returned in the response.
struct peer_request
{
    std::uint64_t exchange = 0;
    peer_message message;
    deadline until;
    sink<peer_response> reply;
};

/// A request to one peer, addressed by instance; mesh_supervisor passes it to the peer's task.
struct peer_envelope
{
    instance_id to;
    peer_request send;
};

using peer_task_message = std::variant<peer_request>;

using mesh_supervisor_message = std::variant<instance_list, peer_envelope>;

/// The response to a received message, to be sent on the connection and stream on which the message arrived.
struct listener_reply
{
    std::uint64_t connection = 0;
    std::int64_t stream = 0;
    peer_message message;
};

using mesh_listener_message = std::variant<listener_reply>;

/// The address on which the listener listens, with the port that the kernel chose.
struct mesh_listening
{
    socket_address address;
};

/// A message received from a peer, for the task that handles it; the response goes to the reply sink. The incarnation is the one that the
/// peer sent in its hello; the address is the remote address of the connection, not the one on which the peer listens.
struct peer_message_received
{
    peer from;
    peer_message message;
    sink<peer_message> reply;
};

/// Reports whether the connection to a peer is up and the peer answers heartbeats.
struct peer_status
{
    peer who;
    bool isUp = false;
};

} // namespace burdockshelf
