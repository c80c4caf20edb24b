#include "http/http_server.h"

#include <cerrno>
#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace burdockshelf
{

namespace
{

constexpr int allowedMethods =
    EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD | EVHTTP_REQ_PATCH | EVHTTP_REQ_OPTIONS;

std::uint16_t boundPort(evutil_socket_t socket)
{
    sockaddr_storage bound = {};
    socklen_t size = sizeof bound;
    getsockname(socket, reinterpret_cast<sockaddr *>(&bound), &size);
    if (bound.ss_family == AF_INET6) {
        return ntohs(reinterpret_cast<sockaddr_in6 *>(&bound)->sin6_port);
    }
    return ntohs(reinterpret_cast<sockaddr_in *>(&bound)->sin_port);
}

// Streamed tokens are small writes. With Nagle's algorithm, each may wait for the acknowledgement of the previous one, which the receiver
// delays by up to 40 ms. Accepted connections inherit the option.
void setNoDelay(evutil_socket_t socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

http_server::http_server(event_loop &loop, http_server_limits limits, handler onRequest)
    : m_onRequest(std::move(onRequest))
    , m_server(evhttp_new(loop.base()))
{
    evhttp_set_allowed_methods(m_server.get(), allowedMethods);
    evhttp_set_max_headers_size(m_server.get(), limits.headers.value());
    evhttp_set_max_body_size(m_server.get(), limits.body.value());
    evhttp_set_default_content_type(m_server.get(), nullptr);
    evhttp_set_gencb(m_server.get(), &http_server::onRequest, this);
}

http_server::~http_server() = default;

outcome<socket_address> http_server::listen(const socket_address &address)
{
    m_socket = evhttp_bind_socket_with_handle(m_server.get(), address.ip.c_str(), address.port);
    if (m_socket == nullptr) {
        return failure(error_code::unavailable, "cannot listen on " + address.toString() + ": " + std::strerror(errno));
    }
    setNoDelay(evhttp_bound_socket_get_fd(m_socket));
    socket_address bound = address;
    bound.port = boundPort(evhttp_bound_socket_get_fd(m_socket));
    return bound;
}

void http_server::stopAccepting()
{
    if (m_socket != nullptr) {
        evhttp_del_accept_socket(m_server.get(), m_socket);
        m_socket = nullptr;
    }
}

void http_server::onRequest(struct evhttp_request *handle, void *self)
{
    static_cast<http_server *>(self)->m_onRequest(http_exchange::adopt(handle));
}

void http_server::server_deleter::operator()(evhttp *server) const
{
    evhttp_free(server);
}

} // namespace burdockshelf
