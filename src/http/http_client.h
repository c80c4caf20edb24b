#pragma once

#include "core/deadline.h"
#include "core/outcome.h"
#include "core/quantity.h"
#include "core/socket_address.h"
#include "core/units.h"
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

/// Error of a call that did not receive a complete response.
struct http_call_error
{
    error cause;
    /// True if no byte of the request can have reached the server.
    bool isNotSent = false;
};

using http_call_result = boost::outcome_v2::basic_result<http_response, http_call_error, boost::outcome_v2::policy::terminate>;

/// Limit for the bodies of responses whose caller sets none.
constexpr std::int64_t defaultMaxResponseBody = 8 * 1024 * 1024;

/// Callbacks and limits of a call started with http_client::send(). The callbacks may start and cancel calls.
struct http_call_handlers
{
    /// Called when the status and headers have arrived; the body is still empty. Optional.
    std::function<void(const http_response &)> onHeaders;
    /// Called for each received part of the body. If set, the body of the response passed to onDone is empty. Optional.
    std::function<void(std::string_view)> onData;
    /// Called exactly once when the call ends, unless it is cancelled.
    std::function<void(http_call_result)> onDone;
    /// Largest body of the response. With onData, the longest part of the body that may be held back until it is complete, such as a chunk.
    /// A call that exceeds it fails with too_large, and its connection is closed.
    byte_count maxBody {defaultMaxResponseBody};
};

/// HTTP/1.1 client for one server, based on evhttp. Reuses idle connections. Owned by one task. Never retries a call. A response is used
/// only if response_syntax lets it through. What the server sends is bounded for each call, and for all calls together: when they hold too
/// much, the one that holds the most fails with too_large.
class http_client
{
public:
    http_client(event_loop &loop, socket_address server);
    ~http_client();
    http_client(const http_client &) = delete;
    http_client &operator=(const http_client &) = delete;

    /// Sends a request. The call fails with deadline_exceeded if it has not completed by the deadline.
    http_call_id send(const http_request &request, http_call_handlers handlers, deadline until);
    /// Cancels a call and closes its connection, so that the server detects that the client no longer waits. Unknown ids are ignored.
    void cancel(http_call_id call);
    /// Replaces the deadline of a running call, for example when a stream makes progress.
    void extend(http_call_id call, deadline until);

    const socket_address &server() const;
    std::size_t activeCalls() const;

private:
    struct connection;
    struct call;
    enum class rejection;

    std::unique_ptr<connection> acquireConnection();
    void finishCall(http_call_id id, http_call_result result, bool keepConnection);
    /// Updates what the call holds of its response, and ends the largest calls while all of them hold too much.
    void accountFor(call &target, std::size_t held);
    void rejectResponse(call &target, rejection why);
    void discard(std::unique_ptr<connection> unwanted);

    event_loop &m_loop;
    socket_address m_server;
    std::map<http_call_id, std::unique_ptr<call>> m_calls;
    std::vector<std::unique_ptr<connection>> m_idle;
    // Connections to free from the event loop, since they must not be freed inside one of their own callbacks.
    std::vector<std::unique_ptr<connection>> m_discarded;
    timer m_discardTimer;
    http_call_id m_lastCallId;
    /// Bytes of responses that all calls hold.
    std::size_t m_heldBytes = 0;
};

} // namespace burdockshelf
