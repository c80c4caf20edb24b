#pragma once

#include "core/socket_address.h"
#include "runtime/event_loop.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;

namespace burdockshelf
{

/// How a connection ended.
enum class stream_end_cause
{
    /// The peer closed its sending direction cleanly (FIN).
    closed,
    /// The connection was reset, timed out or could not be established.
    failed,
};

/// TCP connection based on a libevent bufferevent. Owned by one task, which must not destroy the stream inside a handler but later, from
/// the event loop.
class byte_stream
{
public:
    struct handlers
    {
        std::function<void()> onConnected;
        /// Called when bytes have arrived; see peek() and drop().
        std::function<void()> onReadable;
        std::function<void(stream_end_cause)> onEnded;
    };

    /// Takes over an accepted socket.
    static std::unique_ptr<byte_stream> adopt(event_loop &loop, int socket, handlers handlers);
    /// Starts connecting to an IPv4 address. Returns nullptr for any other address, or if the socket or the connect call fails.
    static std::unique_ptr<byte_stream>
    connect(event_loop &loop, const socket_address &to, std::chrono::milliseconds userTimeout, handlers handlers);

    ~byte_stream();
    byte_stream(const byte_stream &) = delete;
    byte_stream &operator=(const byte_stream &) = delete;

    void write(std::string_view bytes);
    /// Writes bytes without copying them; they are kept until they have been handed to the kernel.
    void write(std::shared_ptr<const std::string> bytes);
    /// Number of bytes passed to write() that have not been handed to the kernel yet.
    std::size_t unsentBytes() const;
    /// Contiguous view of the received bytes; valid until the next call.
    std::string_view peek();
    /// Number of received bytes that have not been dropped.
    std::size_t receivedBytes() const;
    void drop(std::size_t bytes);
    /// True if the peer has closed or reset the connection and the kernel holds no more unread bytes.
    bool hasPeerDisconnected() const;
    /// Stops or resumes reading. While reading is stopped, the end of the connection is not detected.
    void setReading(bool isReading);
    /// Half-closes the connection once all written bytes have been handed to the kernel. The peer may still send.
    void finishWriting();
    /// Bounds the kernel's send buffer of the connection.
    void setSendBuffer(int bytes);

private:
    byte_stream(bufferevent *handle, handlers handlers);

    void shutDownWriting();
    /// Reads what had arrived before a write failed, so that it does not matter which of the two the event loop notices first.
    void readRemaining();

    static void onRead(bufferevent *handle, void *self);
    static void onWrite(bufferevent *handle, void *self);
    static void onEvent(bufferevent *handle, short what, void *self);

    bufferevent *m_handle;
    handlers m_handlers;
    bool m_isFinishingWrites = false;
};

} // namespace burdockshelf
