#pragma once

#include "forwarding/flow_messages.h"
#include "forwarding/traffic_plan.h"
#include "gateway/caller_memory.h"
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
    virtual void dispatchRequest(caller_connection &from, http_request &&request, memory_charge &&memory) = 0;
    /// Reports a request whose caller disconnected before it was read; no response is expected.
    virtual void reportAbandonedRequest(http_request &&request) = 0;
    virtual void reportCallerDisconnected(caller_connection &from) = 0;
    /// A request that is not valid HTTP, is too large or did not arrive in time was refused with the status.
    virtual void logUnreadableRequest(int status) = 0;
    /// An empty charge to the account of callers for data of the source.
    virtual memory_charge chargeFor(source_address source) = 0;
    /// Sheds other connections that hold memory without progress, because the connection's next bytes exceed the bound. Returns whether
    /// memory was released.
    virtual bool makeRoom(const caller_connection &needy, memory_bound exceeded) = 0;
    /// Reports something that was refused or closed because of a bound of the account.
    virtual void noteShed(const caller_connection &shed, memory_bound exceeded, std::string_view action) = 0;
    /// The connection has made progress, and is waiting for the caller again.
    virtual void noteProgress(caller_connection &by) = 0;
    /// The connection is waiting for a response and must not be shed.
    virtual void noteResponsePending(caller_connection &on) = 0;
    virtual void destroyLater(caller_connection &ended) = 0;
};

/// A caller's connection, which processes one request at a time. Owned by caller_server_task.
class caller_connection : private message_handler
{
public:
    caller_connection(event_loop &loop, int socket, source_address source, caller_connection_owner &owner);
    ~caller_connection() override;

    bool isIdle() const;
    bool isResponsePending() const;
    source_address source() const;
    /// What the account holds for this connection.
    byte_count heldMemory() const;
    instant lastProgress() const;
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
    /// Gives up a connection that waits for its caller, because its memory is needed: refuses a request that is being read, or closes.
    void shed(memory_bound exceeded);
    /// Brings the account up to date with the unsent bytes.
    void accountForUnsent(instant now);
    /// When the caller was last seen to read, while bytes are unsent.
    instant lastRead() const;
    /// Enforces the idle, request and linger timeouts. Returns true if the connection should be destroyed.
    bool checkTimeouts(instant now);

private:
    void onRequestHead(http_request &&head, const message_framing &framing) override;
    void onBody(std::string_view bytes) override;
    void onComplete() override;

    bool isReadingRequest() const;
    void readMore();
    void readPipelined();
    void parse(std::string_view bytes);
    void dispatch();
    /// Memory for the request that is being read.
    byte_count requestMemory() const;
    /// Brings the account up to date with the request; refuses it and returns false if it does not fit.
    bool accountForRequest();
    void refuseForMemory(memory_bound exceeded);
    void noteProgressOf(std::size_t bytes);
    void releaseRequest();
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
    source_address m_source;
    memory_charge m_ownMemory;
    memory_charge m_requestMemory;
    memory_charge m_unsentMemory;
    /// Bytes of the body that the request has announced.
    std::int64_t m_announced = 0;
    std::size_t m_bytesSinceProgress = 0;
    instant m_lastProgress;
    byte_count m_unsentAtLastAccount;
    instant m_lastRead;
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
    bool m_expectsContinue = false;
    bool m_isKeptAlive = true;
    bool m_isTooLarge = false;
    bool m_isResponsePending = false;
    bool m_isClosing = false;
    bool m_closesAfterStream = false;
};

} // namespace burdockshelf
