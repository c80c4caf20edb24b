#pragma once

#include "core/outcome.h"
#include "core/quantity.h"
#include "core/socket_address.h"
#include "core/units.h"
#include "runtime/event_loop.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

struct bufferevent;
struct nghttp2_session;

namespace burdockshelf
{

/// Identifier of an HTTP/2 stream within its connection.
using http2_stream_id = quantity<struct http2_stream_tag>;

struct http2_request
{
    std::string path;
    std::string body;
};

struct http2_response
{
    int status = 200;
    /// Kind of message in the body; sent as the header field "kind".
    std::string kind;
    std::string body;
};

struct http2_limits
{
    /// Maximum number of concurrent streams.
    std::uint32_t streams = 256;
    /// Maximum size of one body.
    byte_count body {8 * 1024 * 1024};
    /// Maximum size of all bodies that are being received on one connection, taken together.
    byte_count received {32 * 1024 * 1024};
    /// Flow control window of a stream; the connection's window is four times as large.
    byte_count window {256 * 1024};
    /// No further frames are serialized while this many bytes wait to be written to the socket.
    byte_count unsent {256 * 1024};
    /// Idle timeout: a connection on which nothing arrives for this long is closed; zero for no limit.
    std::chrono::milliseconds silence {0};
};

/// Event handlers of a session's owner. No handler may destroy the session.
struct http2_handlers
{
    /// The connection is established. Client side only.
    std::function<void()> onConnected;
    /// A complete request has arrived. Server side only.
    std::function<void(http2_stream_id, http2_request)> onRequest;
    /// A request has ended with a response or an error. Called exactly once for each request, unless the request is cancelled or the
    /// connection closes first. Client side only.
    std::function<void(http2_stream_id, outcome<http2_response>)> onResponse;
    /// The peer has acknowledged a ping.
    std::function<void()> onPong;
    /// The connection is closed. Called exactly once; no other handler is called afterwards.
    std::function<void(error)> onClosed;
};

/// One cleartext HTTP/2 connection with prior knowledge (h2c), implemented with nghttp2 on a bufferevent. Owned by one task.
class http2_session
{
public:
    /// Connects to a server.
    http2_session(event_loop &loop, const socket_address &server, const http2_limits &limits, http2_handlers handlers);
    /// Serves an accepted connection.
    http2_session(event_loop &loop, int acceptedSocket, const http2_limits &limits, http2_handlers handlers);
    ~http2_session();
    http2_session(const http2_session &) = delete;
    http2_session &operator=(const http2_session &) = delete;

    /// Sends a request. Fails while the connection is not established, is being shut down by either side, or has the maximum number of open
    /// streams.
    outcome<http2_stream_id> sendRequest(http2_request request);
    /// Sends the response to a request. Does nothing when the client has cancelled the request.
    void respond(http2_stream_id id, http2_response response);
    /// Cancels a request; a response that arrives later is dropped.
    void cancel(http2_stream_id id);
    void ping();
    /// Accepts no new requests (GOAWAY), and closes the connection once the open streams have ended.
    void shutDown();

    bool isClosed() const;

private:
    struct stream;
    struct callbacks;
    struct bufferevent_deleter
    {
        void operator()(bufferevent *handle) const;
    };
    struct session_deleter
    {
        void operator()(nghttp2_session *handle) const;
    };

    http2_session(event_loop &loop, int socket, bool isServer, const http2_limits &limits, http2_handlers handlers);
    void beginSession();
    void receive();
    void flush();
    void close(error cause);
    void endStream(std::int32_t id, std::uint32_t code);
    void receiveBody(std::int32_t id, std::string_view bytes);
    void reset(std::int32_t id, std::uint32_t code);
    std::unique_ptr<stream> removeStream(std::int32_t id);
    stream *findStream(std::int32_t id);

    http2_limits m_limits;
    http2_handlers m_handlers;
    bool m_isServer;
    std::map<std::int32_t, std::unique_ptr<stream>> m_streams;
    std::unique_ptr<nghttp2_session, session_deleter> m_session;
    std::unique_ptr<bufferevent, bufferevent_deleter> m_connection;
    std::size_t m_receivedBytes = 0;
    bool m_isUp = false;
    bool m_isInNghttp2 = false;
    bool m_isClosed = false;
};

} // namespace burdockshelf
