#include "http1/byte_stream.h"

#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace burdockshelf
{

namespace
{

// More than the kernel holds of a connection.
constexpr std::size_t maxRemainingBytes = 8 * 1024 * 1024;

void setNoDelay(int socket)
{
    const int on = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

} // namespace

byte_stream::byte_stream(bufferevent *handle, handlers handlers)
    : m_handle(handle)
    , m_handlers(std::move(handlers))
{
    bufferevent_setcb(handle, &byte_stream::onRead, &byte_stream::onWrite, &byte_stream::onEvent, this);
}

std::unique_ptr<byte_stream> byte_stream::adopt(event_loop &loop, int socket, handlers handlers)
{
    setNoDelay(socket);
    bufferevent *handle = bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    auto stream = std::unique_ptr<byte_stream>(new byte_stream(handle, std::move(handlers)));
    bufferevent_enable(handle, EV_READ | EV_WRITE);
    return stream;
}

std::unique_ptr<byte_stream>
byte_stream::connect(event_loop &loop, const socket_address &to, std::chrono::milliseconds userTimeout, handlers handlers)
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    if (inet_pton(AF_INET, to.ip.c_str(), &address.sin_addr) != 1) {
        return nullptr;
    }
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (socket < 0) {
        return nullptr;
    }
    setNoDelay(socket);
    const auto timeout = static_cast<unsigned int>(userTimeout.count());
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
    bufferevent *handle = bufferevent_socket_new(loop.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    auto stream = std::unique_ptr<byte_stream>(new byte_stream(handle, std::move(handlers)));
    bufferevent_enable(handle, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(handle, reinterpret_cast<sockaddr *>(&address), sizeof(address)) != 0) {
        return nullptr;
    }
    return stream;
}

byte_stream::~byte_stream()
{
    bufferevent_free(m_handle);
}

void byte_stream::write(std::string_view bytes)
{
    bufferevent_write(m_handle, bytes.data(), bytes.size());
}

void byte_stream::write(std::shared_ptr<const std::string> bytes)
{
    if (!bytes || bytes->empty()) {
        return;
    }
    const std::string &content = *bytes;
    auto *keeper = new std::shared_ptr<const std::string>(std::move(bytes));
    const auto release = [](const void * /*data*/, std::size_t /*size*/, void *kept) {
        delete static_cast<std::shared_ptr<const std::string> *>(kept);
    };
    if (evbuffer_add_reference(bufferevent_get_output(m_handle), content.data(), content.size(), release, keeper) != 0) {
        delete keeper;
    }
}

std::size_t byte_stream::unsentBytes() const
{
    return evbuffer_get_length(bufferevent_get_output(m_handle));
}

std::string_view byte_stream::peek()
{
    evbuffer *input = bufferevent_get_input(m_handle);
    const std::size_t size = evbuffer_get_length(input);
    if (size == 0) {
        return {};
    }
    return {reinterpret_cast<const char *>(evbuffer_pullup(input, -1)), size};
}

std::size_t byte_stream::receivedBytes() const
{
    return evbuffer_get_length(bufferevent_get_input(m_handle));
}

void byte_stream::drop(std::size_t bytes)
{
    evbuffer_drain(bufferevent_get_input(m_handle), bytes);
}

bool byte_stream::hasPeerDisconnected() const
{
    char next = 0;
    const ssize_t read = ::recv(bufferevent_getfd(m_handle), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT);
    return read == 0 || (read < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

void byte_stream::setReading(bool isReading)
{
    if (isReading) {
        bufferevent_enable(m_handle, EV_READ);
    } else {
        bufferevent_disable(m_handle, EV_READ);
    }
}

void byte_stream::finishWriting()
{
    m_isFinishingWrites = true;
    if (unsentBytes() == 0) {
        shutDownWriting();
    }
}

void byte_stream::setSendBuffer(int bytes)
{
    setsockopt(bufferevent_getfd(m_handle), SOL_SOCKET, SO_SNDBUF, &bytes, sizeof(bytes));
}

void byte_stream::shutDownWriting()
{
    ::shutdown(bufferevent_getfd(m_handle), SHUT_WR);
}

void byte_stream::onRead(bufferevent * /*handle*/, void *self)
{
    static_cast<byte_stream *>(self)->m_handlers.onReadable();
}

void byte_stream::onWrite(bufferevent * /*handle*/, void *self)
{
    auto *stream = static_cast<byte_stream *>(self);
    if (stream->m_isFinishingWrites) {
        stream->shutDownWriting();
    }
}

void byte_stream::onEvent(bufferevent * /*handle*/, short what, void *self)
{
    auto *stream = static_cast<byte_stream *>(self);
    if ((what & BEV_EVENT_CONNECTED) != 0) {
        if (stream->m_handlers.onConnected) {
            stream->m_handlers.onConnected();
        }
        return;
    }
    const bool isReadEnd = (what & BEV_EVENT_READING) != 0;
    if (!isReadEnd && (bufferevent_get_enabled(stream->m_handle) & EV_READ) != 0) {
        stream->readRemaining();
    }
    // Once a write has failed, the end of reading looks orderly also after a reset.
    const bool isClosed = isReadEnd && (what & BEV_EVENT_EOF) != 0;
    stream->m_handlers.onEnded(isClosed ? stream_end_cause::closed : stream_end_cause::failed);
}

void byte_stream::readRemaining()
{
    evbuffer *input = bufferevent_get_input(m_handle);
    const std::size_t before = receivedBytes();
    evbuffer_unfreeze(input, 0);
    while (receivedBytes() < maxRemainingBytes && evbuffer_read(input, bufferevent_getfd(m_handle), -1) > 0) { }
    evbuffer_freeze(input, 0);
    if (receivedBytes() > before) {
        m_handlers.onReadable();
    }
}

} // namespace burdockshelf
