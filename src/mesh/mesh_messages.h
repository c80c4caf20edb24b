#pragma once

#include "core/deadline.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "core/socket_address.h"
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
struct peer_answer
{
    std::uint64_t exchange = 0;
    instance_id from;
    outcome<peer_message> answer;
};

/// Asks peer_task to send a message. The sender's number comes back in the answer.
struct peer_send
{
    std::uint64_t exchange = 0;
    peer_message message;
    deadline until;
    sink<peer_answer> reply;
};

/// A message for a peer, for whoever knows the peer's task. A peer that is not known is answered with not_found.
struct peer_post
{
    instance_id to;
    peer_send send;
};

using peer_task_message = std::variant<peer_send>;

/// A message of a peer, for the task that it concerns; answered through the reply sink.
struct peer_received
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
