#pragma once

#include "core/outcome.h"
#include "http1/client_connection.h"
#include "runtime/timer.h"

#include <functional>
#include <memory>

namespace burdockshelf
{

/// What the deadline of a call applies to.
enum class deadline_scope
{
    /// The response must be complete by then.
    whole_response,
    /// The response must have begun by then. A large response on a slow link is waited for as long as it makes progress, up to a maximum
    /// time.
    start_of_response,
};

/// HTTP client that makes one call at a time, each with a deadline, on a persistent connection to one server. Replaces the connection after
/// a failed call, because it may have become unresponsive. Owned by one task.
class serial_http_client
{
public:
    using handler = std::function<void(outcome<http_response>)>;

    serial_http_client(event_loop &loop, const socket_address &server, deadline_scope scope = deadline_scope::whole_response);
    ~serial_http_client();
    serial_http_client(const serial_http_client &) = delete;
    serial_http_client &operator=(const serial_http_client &) = delete;

    bool isBusy() const;
    /// Ends the running call without calling its handler.
    void abandon();
    /// A response with a longer body than maxBody fails the call with error_code::too_large; see response_limits.
    void begin(const http_request &request, deadline until, byte_count maxBody, handler onDone);

private:
    void finish(outcome<http_response> result);
    /// A part of the response has arrived. Extends the deadline of the running call if its scope is the start of the response.
    void noteProgress();
    void discardConnection();

    event_loop &m_loop;
    socket_address m_server;
    deadline_scope m_scope;
    std::unique_ptr<client_connection> m_connection;
    std::unique_ptr<client_connection> m_discarded;
    http_response m_response;
    handler m_onDone;
    deadline m_transferDeadline = deadline::never();
    timer m_timeout;
    timer m_destroyTimer;
};

} // namespace burdockshelf
