#pragma once

#include "mesh/mesh_messages.h"

namespace burdockshelf
{

/// Makes sure that an exchange ends with exactly one answer. What comes after the first is dropped; when everyone who could answer is gone,
/// for example with the mailbox that held the message, the exchange ends with connection_lost.
class once_reply
{
public:
    once_reply(std::uint64_t exchange, instance_id to, sink<peer_response> reply);
    ~once_reply();
    once_reply(const once_reply &) = delete;
    once_reply &operator=(const once_reply &) = delete;

    post_result post(peer_response &&answer);

    /// A sink that shares one once_reply among its copies.
    static sink<peer_response> wrap(std::uint64_t exchange, instance_id to, sink<peer_response> reply);

private:
    std::uint64_t m_exchange;
    instance_id m_to;
    sink<peer_response> m_reply;
    bool m_isAnswered = false;
};

} // namespace burdockshelf
