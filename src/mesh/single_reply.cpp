#include "mesh/single_reply.h"

#include <memory>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

single_reply::single_reply(std::uint64_t exchange, instance_id to, sink<peer_response> reply)
    : m_exchange(exchange)
    , m_to(std::move(to))
    , m_reply(std::move(reply))
{
}

single_reply::~single_reply()
{
    post({m_exchange, m_to, failure(error_code::connection_lost, "the connection to the peer has ended")});
}

post_result single_reply::post(peer_response &&answer)
{
    if (std::exchange(m_isAnswered, true)) {
        return post_result::delivered;
    }
    const post_result result = m_reply.post(std::move(answer));
    LOG_IF(WARNING, result == post_result::full) << "mesh: the response of " << m_to << " was dropped, the requester's mailbox is full.";
    return result;
}

sink<peer_response> single_reply::wrap(std::uint64_t exchange, instance_id to, sink<peer_response> reply)
{
    const auto shared = std::make_shared<single_reply>(exchange, std::move(to), std::move(reply));
    return sink<peer_response>([shared](peer_response &&answer) { return shared->post(std::move(answer)); });
}

} // namespace burdockshelf
