#include "mesh/once_reply.h"

#include <memory>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

once_reply::once_reply(std::uint64_t exchange, instance_id to, sink<peer_response> reply)
    : m_exchange(exchange)
    , m_to(std::move(to))
    , m_reply(std::move(reply))
{
}

once_reply::~once_reply()
{
    post({m_exchange, m_to, failure(error_code::connection_lost, "the connection to the peer has ended")});
}

post_result once_reply::post(peer_response &&answer)
{
    if (std::exchange(m_isAnswered, true)) {
        return post_result::delivered;
    }
    const post_result result = m_reply.post(std::move(answer));
    LOG_IF(WARNING, result == post_result::full) << "mesh: the answer of " << m_to << " was dropped, the asker's mailbox is full.";
    return result;
}

sink<peer_response> once_reply::wrap(std::uint64_t exchange, instance_id to, sink<peer_response> reply)
{
    const auto shared = std::make_shared<once_reply>(exchange, std::move(to), std::move(reply));
    return sink<peer_response>([shared](peer_response &&answer) { return shared->post(std::move(answer)); });
}

} // namespace burdockshelf
