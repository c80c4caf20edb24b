#pragma once

#include "mesh/mesh_messages.h"

namespace burdockshelf
{

/// Ensures that an exchange ends with exactly one response. Responses after the first are dropped. When the last copy of the sink is
/// destroyed without a response, for example with the mailbox that held the message, the exchange ends with connection_lost.
class single_reply
{
public:
    single_reply(std::uint64_t exchange, instance_id to, sink<peer_response> reply);
    ~single_reply();
    single_reply(const single_reply &) = delete;
    single_reply &operator=(const single_reply &) = delete;

    post_result post(peer_response &&answer);

    /// Returns a sink whose copies share one single_reply.
    static sink<peer_response> wrap(std::uint64_t exchange, instance_id to, sink<peer_response> reply);

private:
    std::uint64_t m_exchange;
    instance_id m_to;
    sink<peer_response> m_reply;
    bool m_isAnswered = false;
};

} // namespace burdockshelf
