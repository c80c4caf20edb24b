#include "gateway/caller_server_task.h"

#include "http1/message_writer.h"

#include <algorithm>
#include <utility>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds sweepInterval {100};
// After the last response on a connection, waits for the caller to close its side. Closing at once could send a RST that discards the
// response before the caller has read it.
constexpr milliseconds lingerTimeout {1000};
// After SIGTERM the load balancer needs two health checks, a second apart, before it sends new connections elsewhere.
constexpr milliseconds loadBalancerDrainTime {2500};
// Reserved at the end of the grace period for writing the last responses and for leaving the group; the latter waits for the store for
// part of this time.
constexpr milliseconds shutdownMargin {400};
constexpr int listenBacklog = 1024;
// Pipelined requests are buffered up to this size while a response is pending; then reading from the connection pauses.
constexpr std::size_t maxPipelinedBytes = 64 * 1024;

constexpr int statusRequestTimeout = 408;
constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusHeadTooLarge = 431;

} // namespace

/// A caller's connection, which processes one request at a time.
class caller_server_task::connection : private message_handler
{
public:
    connection(caller_server_task &owner, int socket)
        : m_owner(owner)
        , m_parser(message_parser::direction::requests, owner.m_limits.head, *this)
        , m_idleSince(boot_clock::now())
    {
        byte_stream::handlers handlers;
        handlers.onReadable = [this] {
            readMore();
        };
        handlers.onEnded = [this](stream_end_cause) {
            end();
        };
        m_stream = byte_stream::adopt(owner.m_loop, socket, std::move(handlers));
    }

    bool isIdle() const
    {
        return !m_isResponsePending && !m_isClosing && m_parser.isBetweenMessages();
    }

    bool isResponsePending() const
    {
        return m_isResponsePending;
    }

    flow_id flow() const
    {
        return m_flow;
    }

    void setFlow(flow_id flow)
    {
        m_flow = flow;
        m_isResponsePending = true;
    }

    void writeFullResponse(http_response &&response)
    {
        const bool closes = closesAfterResponse();
        const bool hasBody = m_method != "HEAD";
        if (!hasBody) {
            response.body.clear();
        }
        m_stream->write(responseBytes(response, body_framing::length, closes));
        finishResponse(closes);
    }

    void writeResponseHead(const http_response &head)
    {
        m_closesAfterStream = closesAfterResponse();
        m_stream->write(responseBytes(head, body_framing::chunked, m_closesAfterStream));
    }

    void writeBodyData(std::string_view bytes)
    {
        m_stream->write(chunkBytes(bytes));
    }

    void writeResponseEnd()
    {
        m_stream->write(lastChunk());
        finishResponse(m_closesAfterStream);
    }

    /// Closes the connection in the middle of a response, so that the caller sees that the response is truncated.
    void abortResponse()
    {
        m_isResponsePending = false;
        close();
    }

    void close()
    {
        m_isClosing = true;
        m_closeDeadline = deadline::after(boot_clock::now(), lingerTimeout);
        m_stream->finishWriting();
    }

    /// Bytes of responses that the caller has not been sent yet.
    std::size_t unsentBytes() const
    {
        return m_stream->unsentBytes();
    }

    /// Enforces the idle, request and linger timeouts. Returns true if the connection should be destroyed.
    bool checkTimeouts(instant now)
    {
        if (m_isClosing) {
            return m_closeDeadline.hasPassed(now);
        }
        if (m_isResponsePending) {
            return false;
        }
        if (isIdle()) {
            // The caller may not know a changed idle timeout yet, so the longer of the old and the new value applies.
            const milliseconds idle = std::max(m_idleTimeout, m_owner.m_limits.idleTimeout);
            if (now - m_idleSince > idle) {
                close();
            }
            return false;
        }
        const milliseconds allowed = m_hasHead ? m_owner.m_limits.idleTimeout : m_owner.m_limits.headTimeout;
        if (now - m_requestSince > allowed) {
            refuse(statusRequestTimeout);
        }
        return false;
    }

private:
    void onRequestHead(http_request &&head, const message_framing &framing) override
    {
        m_request = std::move(head);
        m_hasHead = true;
        m_isKeptAlive = framing.keepAlive;
        m_method = m_request.method;
        if (framing.contentLength > m_owner.m_limits.body.value()) {
            m_isTooLarge = true;
        }
        const bool expectsContinue = m_request.headers.has("Expect");
        if (expectsContinue && !m_isTooLarge) {
            m_stream->write("HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    void onBody(std::string_view bytes) override
    {
        if (static_cast<std::int64_t>(m_request.body.size() + bytes.size()) > m_owner.m_limits.body.value()) {
            m_isTooLarge = true;
            return;
        }
        m_request.body.append(bytes);
    }

    void onComplete() override
    {
    }

    void readMore()
    {
        if (m_isClosing) {
            m_stream->drop(m_stream->peek().size());
            return;
        }
        if (m_isResponsePending) {
            if (m_stream->peek().size() > maxPipelinedBytes) {
                m_stream->setReading(false);
            }
            return;
        }
        const std::string_view bytes = m_stream->peek();
        if (bytes.empty()) {
            return;
        }
        if (m_parser.isBetweenMessages()) {
            m_requestSince = boot_clock::now();
            m_hasHead = false;
        }
        m_stream->drop(m_parser.take(bytes));
        if (m_isTooLarge) {
            refuse(statusTooLarge);
            return;
        }
        switch (m_parser.state()) {
        case parse_state::reading:
            break;
        case parse_state::complete:
            // If the whole process was suspended, callers may have disconnected long before their requests are read.
            if (m_stream->hasPeerDisconnected()) {
                m_owner.reportAbandonedRequest(std::move(m_request));
                m_owner.destroyLater(*this);
                break;
            }
            m_owner.dispatchRequest(*this, std::move(m_request));
            m_request = {};
            break;
        case parse_state::broken:
            refuse(statusBadRequest);
            break;
        case parse_state::head_too_large:
            refuse(statusHeadTooLarge);
            break;
        }
    }

    void refuse(int status)
    {
        m_owner.m_log.write(log_line("callers", "request_unreadable").add("status", status));
        http_response response;
        response.status = status;
        m_stream->write(responseBytes(response, body_framing::length, true));
        close();
    }

    bool closesAfterResponse() const
    {
        return !m_isKeptAlive || m_owner.m_isShuttingDown;
    }

    void finishResponse(bool closes)
    {
        m_isResponsePending = false;
        m_idleSince = boot_clock::now();
        m_idleTimeout = m_owner.m_limits.idleTimeout;
        if (closes) {
            close();
            return;
        }
        m_parser.resume();
        m_stream->setReading(true);
        if (!m_stream->peek().empty()) {
            readMore();
        }
    }

    void end()
    {
        if (m_isResponsePending) {
            m_owner.reportCallerDisconnected(*this);
        }
        m_owner.destroyLater(*this);
    }

    caller_server_task &m_owner;
    std::unique_ptr<byte_stream> m_stream;
    message_parser m_parser;
    http_request m_request;
    std::string m_method;
    flow_id m_flow;
    instant m_idleSince;
    instant m_requestSince;
    milliseconds m_idleTimeout {};
    deadline m_closeDeadline;
    bool m_hasHead = false;
    bool m_isKeptAlive = true;
    bool m_isTooLarge = false;
    bool m_isResponsePending = false;
    bool m_isClosing = false;
    bool m_closesAfterStream = false;
};

caller_server_task::caller_server_task(event_loop &loop,
                                       std::shared_ptr<mailbox<caller_server_message>> box,
                                       caller_server_settings settings,
                                       address<dispatch_message> dispatcher,
                                       sink<caller_server_listening> listening,
                                       event_log log)
    : task(std::move(box))
    , m_loop(loop)
    , m_settings(std::move(settings))
    , m_dispatcher(std::move(dispatcher))
    , m_listening(std::move(listening))
    , m_log(std::move(log))
    , m_destroyTimer(loop, [this] { m_pendingDestruction.clear(); })
    , m_sweepTimer(loop, [this] { sweep(); })
{
}

caller_server_task::~caller_server_task() = default;

outcome<void> caller_server_task::start()
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_settings.address.port);
    if (inet_pton(AF_INET, m_settings.address.ip.c_str(), &address.sin_addr) != 1) {
        return failure(error_code::invalid_settings, m_settings.address.toString() + " is not an IPv4 address");
    }
    m_listener.reset(evconnlistener_new_bind(m_loop.base(),
                                             &caller_server_task::onAccept,
                                             this,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
                                             listenBacklog,
                                             reinterpret_cast<sockaddr *>(&address),
                                             sizeof(address)));
    if (!m_listener) {
        return failure(error_code::unavailable, "cannot listen on " + m_settings.address.toString());
    }
    socklen_t size = sizeof(address);
    getsockname(evconnlistener_get_fd(m_listener.get()), reinterpret_cast<sockaddr *>(&address), &size);
    if (m_listening.post({{m_settings.address.ip, ntohs(address.sin_port)}}) == post_result::full) {
        return failure(error_code::unavailable, "the listener's address cannot be reported: mailbox full");
    }
    return success();
}

void caller_server_task::beginShutdown()
{
    m_isShuttingDown = true;
    m_shutdownSince = boot_clock::now();
    armSweep();
}

void caller_server_task::listener_deleter::operator()(evconnlistener *listener) const
{
    evconnlistener_free(listener);
}

void caller_server_task::onAccept(evconnlistener * /*listener*/, int socket, sockaddr * /*from*/, int /*size*/, void *self)
{
    auto *server = static_cast<caller_server_task *>(self);
    auto accepted = std::make_unique<connection>(*server, socket);
    const connection *key = accepted.get();
    server->m_connections[key] = std::move(accepted);
    server->armSweep();
}

void caller_server_task::handle(caller_server_message &&message)
{
    std::visit([this](auto &&typed) { apply(std::forward<decltype(typed)>(typed)); }, std::move(message));
}

void caller_server_task::apply(caller_full_response &&message)
{
    if (connection *target = findByFlow(message.flow)) {
        m_connectionsByFlow.erase(message.flow);
        target->writeFullResponse(std::move(message.response));
    }
}

void caller_server_task::apply(caller_response_head &&message)
{
    if (connection *target = findByFlow(message.flow)) {
        target->writeResponseHead(message.head);
    }
}

void caller_server_task::apply(const caller_body_data &data)
{
    if (connection *target = findByFlow(data.flow)) {
        target->writeBodyData(data.bytes);
    }
}

void caller_server_task::apply(const caller_response_end &end)
{
    if (connection *target = findByFlow(end.flow)) {
        m_connectionsByFlow.erase(end.flow);
        target->writeResponseEnd();
    }
}

void caller_server_task::apply(const caller_response_abort &abort)
{
    if (connection *target = findByFlow(abort.flow)) {
        m_connectionsByFlow.erase(abort.flow);
        target->abortResponse();
    }
}

void caller_server_task::apply(const limits_changed &change)
{
    m_limits = change.limits;
}

caller_server_task::connection *caller_server_task::findByFlow(flow_id flow)
{
    const auto found = m_connectionsByFlow.find(flow);
    return found == m_connectionsByFlow.end() ? nullptr : found->second;
}

void caller_server_task::dispatchRequest(connection &from, http_request &&request)
{
    m_lastFlow += flow_id(1);
    from.setFlow(m_lastFlow);
    m_connectionsByFlow[m_lastFlow] = &from;
    if (m_dispatcher.post(request_arrived {m_lastFlow, std::move(request), boot_clock::now()}) != post_result::delivered) {
        m_log.write(
            log_line("callers", "request_dropped").add("flow", m_lastFlow).add("cause", "the dispatcher's mailbox is full or closed"));
        m_connectionsByFlow.erase(m_lastFlow);
        http_response busy;
        busy.status = 503;
        busy.headers.add("Retry-After", "0.2");
        from.writeFullResponse(std::move(busy));
    }
}

void caller_server_task::reportAbandonedRequest(http_request &&request)
{
    m_lastFlow += flow_id(1);
    if (m_dispatcher.post(request_arrived {m_lastFlow, std::move(request), boot_clock::now(), true}) != post_result::delivered) {
        m_log.write(log_line("callers", "message_dropped").add("flow", m_lastFlow));
    }
}

void caller_server_task::reportCallerDisconnected(connection &from)
{
    m_connectionsByFlow.erase(from.flow());
    if (m_dispatcher.post(flow_caller_disconnected {from.flow()}) != post_result::delivered) {
        m_log.write(log_line("callers", "message_dropped").add("flow", from.flow()));
    }
}

void caller_server_task::destroyLater(connection &ended)
{
    const auto found = m_connections.find(&ended);
    if (found == m_connections.end()) {
        return;
    }
    m_pendingDestruction.push_back(std::move(found->second));
    m_connections.erase(found);
    m_destroyTimer.start(deadline());
}

void caller_server_task::sweep()
{
    const instant now = boot_clock::now();
    std::vector<connection *> ended;
    for (const auto &[key, candidate] : m_connections) {
        if (candidate->checkTimeouts(now)) {
            ended.push_back(candidate.get());
        }
    }
    for (connection *candidate : ended) {
        logIfCut(*candidate, "linger timeout");
        destroyLater(*candidate);
    }
    if (m_isShuttingDown) {
        continueShutdown();
    }
    if (!m_connections.empty() || m_isShuttingDown) {
        armSweep();
    }
}

void caller_server_task::continueShutdown()
{
    const auto elapsed = boot_clock::now() - m_shutdownSince;
    if (elapsed > loadBalancerDrainTime) {
        for (const auto &[key, candidate] : m_connections) {
            if (candidate->isIdle()) {
                candidate->close();
            }
        }
    }
    // True when no response is outstanding and the load balancer and the callers have had their time, loadBalancerDrainTime and
    // lingerTimeout. False before that, even if every response has been written.
    const bool areResponsesWritten = m_connectionsByFlow.empty() && elapsed > loadBalancerDrainTime + lingerTimeout;
    const bool isGraceOver = elapsed > m_settings.gracePeriod - shutdownMargin;
    if ((areResponsesWritten || isGraceOver) && !m_isFinished) {
        m_isFinished = true;
        for (const auto &[key, candidate] : m_connections) {
            logIfCut(*candidate, "shutdown");
        }
        m_listener.reset();
        finish();
    }
}

void caller_server_task::logIfCut(const connection &ended, std::string_view cause)
{
    if (ended.isResponsePending() || ended.unsentBytes() > 0) {
        m_log.write(log_line("callers", "response_cut")
                        .add("flow", ended.flow())
                        .add("cause", cause)
                        .add("is_response_pending", ended.isResponsePending())
                        .add("unsent_bytes", ended.unsentBytes()));
    }
}

void caller_server_task::armSweep()
{
    if (!m_sweepTimer.isArmed()) {
        m_sweepTimer.start(deadline::after(boot_clock::now(), sweepInterval));
    }
}

} // namespace burdockshelf
