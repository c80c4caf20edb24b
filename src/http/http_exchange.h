#pragma once

#include "http/http_message.h"

#include <functional>
#include <memory>
#include <string_view>

struct evhttp_request;
struct evhttp_connection;

namespace burdockshelf
{

/// The server side of one HTTP request. Respond either with respond(), or with startStream(), sendData() and endStream() for a streamed
/// body. After the client has disconnected, these functions do nothing.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    /// Takes over a request passed to the callback of an evhttp server.
    static std::shared_ptr<http_exchange> adopt(evhttp_request *handle);
    ~http_exchange();
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;

    const http_request &request() const;

    void respond(const http_response &response);
    void startStream(int status, const http_headers &headers);
    void sendData(std::string_view bytes);
    void endStream();
    /// Closes the connection without ending the response, so that the client detects the truncation.
    void abort();

    /// Sets the function to call when the client disconnects before the response is complete.
    void setOnClosed(std::function<void()> handler);
    bool isClosed() const;
    /// Number of response bytes that are buffered and not yet written to the socket.
    std::size_t pendingBytes() const;

private:
    explicit http_exchange(evhttp_request *handle);

    static void onClose(evhttp_connection *connection, void *self);
    static void onComplete(evhttp_request *handle, void *self);
    void release();

    evhttp_request *m_handle;
    evhttp_connection *m_connection;
    http_request m_request;
    std::function<void()> m_onClosed;
    // Keeps this object alive while evhttp holds a pointer to it.
    std::shared_ptr<http_exchange> m_self;
    bool m_isClosed = false;
};

} // namespace burdockshelf
