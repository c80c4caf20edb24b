#pragma once

#include "core/deadline.h"
#include "core/socket_address.h"
#include "http1/byte_stream.h"
#include "http1/message_parser.h"

#include <functional>
#include <memory>

namespace burdockshelf
{

/// How an exchange on a client connection ended.
enum class exchange_end
{
    /// A whole response.
    complete,
    /// No connection; no byte of the request was sent.
    not_sent,
    /// The connection ended before the response was whole.
    lost,
    /// What arrived is no HTTP response.
    broken,
};

/// What the owner of a connection hears of the running exchange. The connection must not be destroyed inside a handler.
struct exchange_handlers
{
    /// Decides whether a response belongs to the exchange. One that does not is dropped, and the next response is read instead.
    std::function<bool(const http_response &)> acceptsResponse;
    std::function<void(http_response &&, const message_framing &)> onHead;
    std::function<void(std::string_view)> onBody;
    std::function<void(exchange_end)> onEnd;
};

struct client_connection_settings
{
    byte_count maxHead {64 * 1024};
    /// Time after which unacknowledged bytes end the connection.
    std::chrono::milliseconds userTimeout {4000};
};

/// A client's HTTP/1.1 connection that carries one exchange at a time. It can carry another one only if the last one left nothing behind:
/// the request was sent whole, no surplus byte came, and neither side wants to close.
class client_connection : private message_handler
{
public:
    client_connection(event_loop &loop, const socket_address &to, client_connection_settings settings);
    ~client_connection() override;

    /// Begins an exchange; the connection must be idle.
    void send(const http_request &request, exchange_handlers handlers);
    /// Ends the exchange without a word to its handlers; the connection carries no further one.
    void abandon();
    /// False once the connection has ended or could not even be begun.
    bool isOpen() const;
    bool isConnected() const;
    bool isBusy() const;
    /// True while no exchange runs and another one may use the connection.
    bool isReusable(instant now) const;
    /// When the other side will have closed the idle connection; never when it does not say.
    deadline idleUntil() const;
    instant idleSince() const;
    const socket_address &server() const;

private:
    void onResponseHead(http_response &&head, const message_framing &framing) override;
    void onBody(std::string_view bytes) override;
    void onComplete() override;

    void onConnected();
    void onReadable();
    void onEnded(stream_end end);
    void finish(exchange_end end);

    socket_address m_server;
    std::unique_ptr<byte_stream> m_stream;
    message_parser m_parser;
    exchange_handlers m_handlers;
    std::string m_unsent;
    bool m_isConnected = false;
    bool m_isBusy = false;
    bool m_isMine = false;
    bool m_isComplete = false;
    bool m_isUsable = true;
    bool m_isKeptAlive = true;
    deadline m_idleUntil = deadline::never();
    instant m_idleSince;
    std::chrono::milliseconds m_keepAlive {-1};
};

} // namespace burdockshelf
