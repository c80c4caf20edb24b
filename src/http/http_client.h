#pragma once

#include "core/deadline.h"
#include "core/outcome.h"
#include "core/quantity.h"
#include "core/socket_address.h"
#include "http/http_message.h"
#include "runtime/event_loop.h"
#include "runtime/timer.h"

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

namespace burdockshelf
{

using http_call_id = quantity<struct http_call_tag>;

/// Why a call has no whole response.
struct http_call_error
{
    error cause;
    /// True when no byte of the request can have reached the server.
    bool isNotSent = false;
};

using http_call_result = boost::outcome_v2::basic_result<http_response, http_call_error, boost::outcome_v2::policy::terminate>;

/// What the caller of http_client::send() wants to hear of. Handlers may start and cancel calls.
struct http_call_handlers
{
    /// Status and headers have arrived; the body is still empty. Optional.
    std::function<void(const http_response &)> onHeaders;
    /// A piece of the body. When set, the body of the final response stays empty. Optional.
    std::function<void(std::string_view)> onData;
    /// The end of the call, exactly once unless the call is cancelled.
    std::function<void(http_call_result)> onDone;
};

/// HTTP/1.1 calls to one server over evhttp. Keeps idle connections for later calls. Belongs to one task. Never repeats a call by itself.
class http_client
{
public:
    http_client(event_loop &loop, socket_address server);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Sends a request. The call fails with deadline_exceeded when it is not done by the deadline.
    http_call_id send(const http_request &request, http_call_handlers handlers, deadline until);
    /// Drops a call and closes its connection, so that the server sees that nobody waits. Unknown ids are ignored.
    void cancel(http_call_id call);
    /// Moves the deadline of a running call, for example when a stream makes progress.
    void extend(http_call_id call, deadline until);

    const socket_address &server() const;
    std::size_t activeCalls() const;

private:
    struct connection;
    struct call;

    std::unique_ptr<connection> takeConnection();
    void finishCall(http_call_id id, http_call_result result, bool keepConnection);
    void discard(std::unique_ptr<connection> unwanted);

    event_loop &m_loop;
    socket_address m_server;
    std::map<http_call_id, std::unique_ptr<call>> m_calls;
    std::vector<std::unique_ptr<connection>> m_idle;
    // Connections are freed from the loop, never inside one of their own callbacks.
    std::vector<std::unique_ptr<connection>> m_discarded;
    timer m_discardTimer;
    http_call_id m_lastCall;
};

} // namespace burdockshelf
