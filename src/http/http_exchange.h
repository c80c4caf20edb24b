#pragma once

#include "http/http_message.h"

#include <functional>
#include <memory>
#include <string_view>

struct evhttp_request;
struct evhttp_connection;

namespace burdockshelf
{

/// The server's side of one HTTP request. Answered whole by respond(), or in pieces by startStream(), sendData() and endStream(). After the
/// client has left, all of these do nothing.
class http_exchange : public std::enable_shared_from_this<http_exchange>
{
public:
    /// Takes over a request that evhttp has handed out.
    static std::shared_ptr<http_exchange> adopt(evhttp_request *handle);
    ~http_exchange();
    http_exchange(const http_exchange &) = delete;
    http_exchange &operator=(const http_exchange &) = delete;

    const http_request &request() const;

    void respond(const http_response &response);
    void startStream(int status, const http_headers &headers);
    void sendData(std::string_view bytes);
    void endStream();
    /// Closes the connection without an end, so that the client sees that the answer is cut.
    void abort();

    /// Called when the client leaves before the answer is complete.
    void setOnClosed(std::function<void()> handler);
    bool isClosed() const;
    /// Bytes of the answer that the client has not taken yet.
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
    // Keeps the object alive while evhttp holds a pointer to it.
    std::shared_ptr<http_exchange> m_self;
    bool m_isClosed = false;
};

} // namespace burdockshelf
