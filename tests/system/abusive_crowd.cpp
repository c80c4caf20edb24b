#include "abusive_crowd.h"

#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace burdockshelf
{

namespace
{

constexpr int smallReceiveBuffer = 4096;

/// A socket that is being connected to the address, or -1. A listener that accepts nothing must not block the test.
int connectedSocket(const socket_address &to, bool readsResponses)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (!readsResponses) {
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &smallReceiveBuffer, sizeof(smallReceiveBuffer));
    }
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr);
    evutil_make_socket_nonblocking(socket);
    if (::connect(socket, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0 && errno != EINPROGRESS) {
        evutil_closesocket(socket);
        return -1;
    }
    return socket;
}

} // namespace

abusive_crowd::abusive_crowd(event_loop &loop)
    : m_loop(loop)
{
}

void abusive_crowd::add(const socket_address &to, int connections, const std::string &bytes, bool readsResponses)
{
    for (int i = 0; i < connections; ++i) {
        const int socket = connectedSocket(to, readsResponses);
        if (socket < 0) {
            continue;
        }
        auto fresh = std::make_unique<member>();
        member &target = *fresh;
        byte_stream::handlers handlers;
        handlers.onReadable = [&target] {
            target.stream->drop(target.stream->peek().size());
        };
        handlers.onEnded = [&target](stream_end_cause) {
            target.hasEnded = true;
        };
        target.stream = byte_stream::adopt(m_loop, socket, std::move(handlers));
        target.stream->setReading(readsResponses);
        target.stream->write(bytes);
        m_members.push_back(std::move(fresh));
    }
}

void abusive_crowd::sendMore(const std::string &bytes)
{
    for (const auto &each : m_members) {
        if (!each->hasEnded) {
            each->stream->write(bytes);
        }
    }
}

} // namespace burdockshelf
