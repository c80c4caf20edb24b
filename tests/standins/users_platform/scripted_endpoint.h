#pragma once

#include "http1/byte_stream.h"
#include "http1/message_parser.h"
#include "runtime/timer.h"

#include <functional>
#include <limits>
#include <list>
#include <memory>
#include <string>
#include <vector>

struct evconnlistener;
struct sockaddr;

namespace burdockshelf
{

class scripted_endpoint;

/// A connection to a scripted endpoint.
class scripted_connection : private message_handler
{
public:
    scripted_connection(scripted_endpoint &owner, std::size_t number, int socket);
    ~scripted_connection() override;

    /// Number of the connection at its endpoint, from 0.
    std::size_t number() const;
    void write(std::string_view bytes);
    /// Writes the bytes again and again until the peer closes the connection, or until about as many bytes as given were written.
    void writeEndlessly(std::string bytes, std::size_t limit = std::numeric_limits<std::size_t>::max());
    /// Ends the sending direction cleanly (FIN) after the bytes written so far.
    void finishWriting();
    /// Resets the connection (RST). Bytes that the kernel has not sent yet are lost.
    void reset();
    bool hasEnded() const;
    /// Bytes of this connection that the kernel has taken for sending.
    std::size_t sentBytes() const;

private:
    void onRequestHead(http_request &&head, const message_framing &framing) override;
    void onBody(std::string_view bytes) override;
    void onComplete() override;
    void readMore();
    /// Calls the endpoint's upload handler when it is due; true if it was called.
    bool handleUpload();
    void refill();

    scripted_endpoint &m_owner;
    std::size_t m_number;
    int m_socket;
    std::unique_ptr<byte_stream> m_stream;
    message_parser m_parser;
    http_request m_request;
    std::string m_endless;
    std::size_t m_endlessLeft = 0;
    std::size_t m_writtenBytes = 0;
    bool m_hasEnded = false;
    bool m_isUpload = false;
    timer m_refillTimer;
    timer m_resetTimer;
};

/// Simulated endpoint whose tests choose every byte that it writes, for responses that are no valid HTTP, have no end or come twice.
class scripted_endpoint
{
public:
    using request_handler = std::function<void(scripted_connection &, const http_request &)>;

    explicit scripted_endpoint(event_loop &loop);
    ~scripted_endpoint();
    scripted_endpoint(const scripted_endpoint &) = delete;
    scripted_endpoint &operator=(const scripted_endpoint &) = delete;

    const socket_address &address() const;
    /// Endpoint entry as a real endpoint writes it to the store.
    std::string entry(const std::string &service, const std::string &zone, const std::string &stage = {}) const;
    /// Sets the handler that is called for every complete request.
    void setRequestHandler(request_handler handler);
    /// Sets a handler that is called in place of the other one for long uploads, as soon as the given number of bytes of the body has
    /// arrived. Nothing more is read from the connection.
    void setUploadHandler(std::size_t afterBytes, request_handler handler);
    /// All requests received, in their order.
    const std::vector<http_request> &requests() const;
    std::size_t connectionCount() const;
    scripted_connection &connection(std::size_t number);
    /// Bytes of all connections that the kernel has taken for sending.
    std::size_t sentBytes() const;
    /// Connections that the peer has not closed.
    std::size_t openConnectionCount() const;

    /// A complete response with the endpoint's seal and the id of the request.
    static std::string success(const http_request &request, const std::string &body);
    /// A complete response that states that the request was not executed, with its id.
    static std::string refusal(const http_request &request);

private:
    friend class scripted_connection;

    static void onAccept(evconnlistener *listener, int socket, sockaddr *from, int size, void *self);
    void handleRequest(scripted_connection &from, http_request &&request);

    event_loop &m_loop;
    evconnlistener *m_listener = nullptr;
    socket_address m_address;
    request_handler m_requestHandler;
    request_handler m_uploadHandler;
    std::size_t m_uploadAnsweredAfter = 0;
    std::list<scripted_connection> m_connections;
    std::vector<http_request> m_requests;
};

} // namespace burdockshelf
