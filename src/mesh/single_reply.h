#pragma once

#include "mesh/mesh_messages.h"

namespace burdockshelf
{

/// Ensures that an exchange with a peer ends with exactly one response. Responses after the first are dropped. If the object is destroyed
/// without a response, the exchange ends with connection_lost. An object made by wrap() is destroyed with the last copy of the sink that
/// wrap() returns, for example with the mailbox that held the message with the sink.
class single_reply
{
public:
    /// Responses go to the given sink. The instance is the peer to which the request was sent.
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
