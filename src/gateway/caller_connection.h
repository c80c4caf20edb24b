#pragma once

#include "forwarding/flow_messages.h"
#include "forwarding/traffic_plan.h"
#include "http/http_message.h"
#include "http1/byte_stream.h"
#include "http1/message_parser.h"
#include "runtime/event_loop.h"

#include <chrono>
#include <memory>
#include <string>
#include <string_view>

namespace burdockshelf
{

class caller_connection;

/// What a caller's connection needs from the task that owns it.
class caller_connection_owner
{
public:
    virtual ~caller_connection_owner() = default;

    virtual const caller_limits &limits() const = 0;
    virtual bool isShuttingDown() const = 0;
    virtual void dispatchRequest(caller_connection &from, http_request &&request) = 0;
    /// Reports a request whose caller disconnected before it was read; no response is expected.
    virtual void reportAbandonedRequest(http_request &&request) = 0;
    virtual void reportCallerDisconnected(caller_connection &from) = 0;
    /// A request that is not valid HTTP, is too large or did not arrive in time was refused with the status.
    virtual void logUnreadableRequest(int status) = 0;
    virtual void destroyLater(caller_connection &ended) = 0;
};

/// A caller's connection, which processes one request at a time. Owned by caller_server_task.
class caller_connection : private message_handler
{
public:
    caller_connection(event_loop &loop, int socket, caller_connection_owner &owner);
    ~caller_connection() override;

    bool isIdle() const;
    bool isResponsePending() const;
    flow_id flow() const;
    /// The caller's id of the request that is in progress, for the log.
    const attempt_id &request() const;
    void setFlow(flow_id flow, attempt_id request);

    void writeFullResponse(http_response &&response);
    void writeResponseHead(const http_response &head);
    void writeBodyData(std::string_view bytes);
    void writeResponseEnd();
    /// Closes the connection in the middle of a response, so that the caller sees that the response is truncated.
    void abortResponse();
    void close();
    /// Bytes of responses that the caller has not been sent yet.
    std::size_t unsentBytes() const;
    /// True when the caller leaves so much of a stream unread that it should be disconnected.
    bool isTooSlow() const;
    /// True while a request is being read or its response is not completely sent.
    bool hasUnfinishedExchange() const;
    /// Refuses the request that is being read, if there is one. It has not run.
    void refuseUnreadRequest();
    /// Enforces the idle, request and linger timeouts. Returns true if the connection should be destroyed.
    bool checkTimeouts(instant now);

private:
    void onRequestHead(http_request &&head, const message_framing &framing) override;
    void onBody(std::string_view bytes) override;
    void onComplete() override;

    bool isReadingRequest() const;
    void readMore();
    /// True when the caller has read nothing of the unsent bytes for the idle timeout.
    bool isReadingStalled(instant now);
    void refuse(int status, std::string_view retryAfter = {});
    bool closesAfterResponse() const;
    void finishResponse(bool closes);
    void end();

    caller_connection_owner &m_owner;
    std::unique_ptr<byte_stream> m_stream;
    message_parser m_parser;
    http_request m_request;
    std::string m_method;
    flow_id m_flow;
    attempt_id m_requestId;
    instant m_idleSince;
    instant m_requestSince;
    std::chrono::milliseconds m_idleTimeout {};
    deadline m_closeDeadline;
    /// When a caller that reads nothing of its response is given up, and the bytes that were unsent when that was last checked.
    deadline m_readingDeadline;
    std::size_t m_unsentAtLastCheck = 0;
    bool m_hasHead = false;
    bool m_isKeptAlive = true;
    bool m_isTooLarge = false;
    bool m_isResponsePending = false;
    bool m_isClosing = false;
    bool m_closesAfterStream = false;
};

} // namespace burdockshelf
