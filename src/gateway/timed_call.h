#pragma once

#include "core/outcome.h"
#include "http1/client_connection.h"
#include "runtime/timer.h"

#include <functional>
#include <memory>

namespace burdockshelf
{

/// Calls to one server on one connection, one at a time, each with a deadline. A connection on which a call failed is not used again,
/// because it may be silent for good. Owned by one task.
class timed_call
{
public:
    using handler = std::function<void(outcome<http_response>)>;

    timed_call(event_loop &loop, const socket_address &server);
    ~timed_call();
    timed_call(const timed_call &) = delete;
    timed_call &operator=(const timed_call &) = delete;

    bool isBusy() const;
    /// Ends the running call without a word to its handler.
    void abandon();
    void begin(const http_request &request, deadline until, handler onDone);

private:
    void finish(outcome<http_response> result);
    void discardConnection();

    event_loop &m_loop;
    socket_address m_server;
    std::unique_ptr<client_connection> m_connection;
    std::unique_ptr<client_connection> m_discarded;
    http_response m_response;
    handler m_onDone;
    timer m_timeout;
    timer m_burial;
};

} // namespace burdockshelf
