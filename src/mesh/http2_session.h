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

/// An HTTP/2 stream within its connection.
using http2_stream_id = quantity<struct http2_stream_tag>;

struct http2_request
{
    std::string path;
    std::string body;
};

struct http2_response
{
    int status = 200;
    /// What the body holds; travels as the header field "kind".
    std::string kind;
    std::string body;
};

struct http2_limits
{
    /// Streams that are open at the same time.
    std::uint32_t streams = 256;
    byte_count body {8 * 1024 * 1024};
    /// Bodies that are being received on one connection, taken together.
    byte_count received {32 * 1024 * 1024};
    /// Flow control window of a stream; that of the connection is four times as large.
    byte_count window {256 * 1024};
    /// Bytes that wait for the socket before no further frames are made.
    byte_count unsent {256 * 1024};
    /// A connection on which nothing arrives for this long is closed; zero for no limit.
    std::chrono::milliseconds silence {0};
};

/// What the owner of a session wants to hear of. No handler may destroy the session.
struct http2_handlers
{
    /// The connection is up. Client side only.
    std::function<void()> onConnected;
    /// A whole request has arrived. Server side only.
    std::function<void(http2_stream_id, http2_request)> onRequest;
    /// A request has ended, exactly once unless it was cancelled or the connection closed. Client side only.
    std::function<void(http2_stream_id, outcome<http2_response>)> onResponse;
    /// A ping was answered.
    std::function<void()> onPong;
    /// The connection is gone, exactly once; no other handler is called afterwards.
    std::function<void(error)> onClosed;
};

/// One HTTP/2 connection in clear text with prior knowledge, by nghttp2 on a bufferevent. Belongs to one task.
class http2_session
{
public:
    /// Connects to a server.
    http2_session(event_loop &loop, const socket_address &server, const http2_limits &limits, http2_handlers handlers);
    /// Serves a connection that was accepted.
    http2_session(event_loop &loop, int acceptedSocket, const http2_limits &limits, http2_handlers handlers);
    ~http2_session();
    http2_session(const http2_session &) = delete;
    http2_session &operator=(const http2_session &) = delete;

    /// Sends a request. Refused while the connection is not up or is being shut down by either side.
    outcome<http2_stream_id> sendRequest(http2_request request);
    /// Answers a request. A stream that the client has given up is ignored.
    void respond(http2_stream_id id, http2_response response);
    /// Gives a request up; its response is dropped when it comes.
    void cancel(http2_stream_id id);
    void ping();
    /// Takes no new requests (GOAWAY), and closes once the open streams have ended.
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
    std::unique_ptr<stream> takeStream(std::int32_t id);
    stream *findStream(std::int32_t id);

    http2_limits m_limits;
    http2_handlers m_handlers;
    bool m_isServer;
    std::map<std::int32_t, std::unique_ptr<stream>> m_streams;
    std::unique_ptr<nghttp2_session, session_deleter> m_session;
    std::unique_ptr<bufferevent, bufferevent_deleter> m_connection;
    std::size_t m_receivedBytes = 0;
    bool m_isUp = false;
    bool m_isBusy = false;
    bool m_isClosed = false;
};

} // namespace burdockshelf
