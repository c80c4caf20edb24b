#pragma once

#include "core/socket_address.h"
#include "runtime/event_loop.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string_view>

struct bufferevent;

namespace burdockshelf
{

/// How a connection ended.
enum class stream_end
{
    /// The other side has closed its direction in order.
    closed,
    /// Reset, timed out, or never connected.
    failed,
};

/// A TCP connection over a libevent bufferevent, owned by one task. Handlers must not destroy the stream; its owner does that from the
/// loop.
class byte_stream
{
public:
    struct handlers
    {
        std::function<void()> onConnected;
        /// Bytes have arrived; see peek() and drop().
        std::function<void()> onReadable;
        std::function<void(stream_end)> onEnded;
    };

    /// Takes over an accepted socket.
    static std::unique_ptr<byte_stream> adopt(event_loop &loop, int socket, handlers handlers);
    /// Begins to connect; nullptr when no socket can be had.
    static std::unique_ptr<byte_stream>
    connect(event_loop &loop, const socket_address &to, std::chrono::milliseconds userTimeout, handlers handlers);

    ~byte_stream();
    byte_stream(const byte_stream &) = delete;
    byte_stream &operator=(const byte_stream &) = delete;

    void write(std::string_view bytes);
    /// Bytes written here that the kernel has not taken yet.
    std::size_t unsentBytes() const;
    /// Contiguous view of what has arrived; valid until the next call.
    std::string_view peek();
    void drop(std::size_t bytes);
    /// The other side has closed or reset the connection behind the bytes that were read so far.
    bool hasPeerDisconnected() const;
    /// Stops or resumes reading; while stopped, the end of the connection is not noticed.
    void setReading(bool isReading);
    /// Ends this side's direction once all written bytes are with the kernel; the other side may still send.
    void finishWriting();

private:
    byte_stream(bufferevent *handle, handlers handlers);

    void shutDownWriting();

    static void onRead(bufferevent *handle, void *self);
    static void onWrite(bufferevent *handle, void *self);
    static void onEvent(bufferevent *handle, short what, void *self);

    bufferevent *m_handle;
    handlers m_handlers;
    bool m_isFinishing = false;
};

} // namespace burdockshelf
