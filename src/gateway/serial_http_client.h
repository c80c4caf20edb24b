#pragma once

#include "core/outcome.h"
#include "http1/client_connection.h"
#include "runtime/timer.h"

#include <functional>
#include <memory>

namespace burdockshelf
{

/// HTTP client that makes one call at a time, each with a deadline, on a persistent connection to one server. Replaces the connection after
/// a failed call, because it may have become unresponsive. The deadline is for the start of the response: a large response on a slow link
/// is waited for as long as it makes progress, up to a maximum time. Owned by one task.
class serial_http_client
{
public:
    using handler = std::function<void(outcome<http_response>)>;

    serial_http_client(event_loop &loop, const socket_address &server);
    ~serial_http_client();
    serial_http_client(const serial_http_client &) = delete;
    serial_http_client &operator=(const serial_http_client &) = delete;

    bool isBusy() const;
    /// Ends the running call without calling its handler.
    void abandon();
    void begin(const http_request &request, deadline until, handler onDone);

private:
    void finish(outcome<http_response> result);
    /// Extends the deadline of the running call after a part of the response has arrived.
    void noteProgress();
    void discardConnection();

    event_loop &m_loop;
    socket_address m_server;
    std::unique_ptr<client_connection> m_connection;
    std::unique_ptr<client_connection> m_discarded;
    http_response m_response;
    handler m_onDone;
    deadline m_transferDeadline = deadline::never();
    timer m_timeout;
    timer m_destroyTimer;
};

} // namespace burdockshelf
