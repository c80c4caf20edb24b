#include "gateway/caller_front_task.h"

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

constexpr milliseconds sweepPause {100};
// A connection that is closed after an answer waits this long for the caller to close its side, so that the answer is not reset away.
constexpr milliseconds lingerTime {1000};
// After SIGTERM the balancer needs two checks, a second apart, to send new connections elsewhere.
constexpr milliseconds balancerNotice {2500};
// Before the forced end: the last answers are written, and the duty is given up, which waits for the store for a part of this time.
constexpr milliseconds endMargin {400};
constexpr int listenBacklog = 1024;
// Requests behind the running one wait in the connection up to this size.
constexpr std::size_t mostPipelined = 64 * 1024;

constexpr int statusRequestTimeout = 408;
constexpr int statusBadRequest = 400;
constexpr int statusTooLarge = 413;
constexpr int statusHeadTooLarge = 431;

} // namespace

/// One caller's connection.
class caller_front_task::connection : private message_handler
{
public:
    connection(caller_front_task &owner, int socket)
        : m_owner(owner)
        , m_parser(message_parser::direction::requests, owner.m_limits.head, *this)
        , m_idleSince(boot_clock::now())
    {
        byte_stream::handlers handlers;
        handlers.onReadable = [this] {
            readMore();
        };
        handlers.onEnded = [this](stream_end) {
            end();
        };
        m_stream = byte_stream::adopt(owner.m_loop, socket, std::move(handlers));
    }

    bool isIdle() const
    {
        return !m_isAnswering && !m_isClosing && m_parser.isBetweenMessages();
    }

    bool isAnswering() const
    {
        return m_isAnswering;
    }

    flow_id flow() const
    {
        return m_flow;
    }

    void setFlow(flow_id flow)
    {
        m_flow = flow;
        m_isAnswering = true;
    }

    void writeWhole(http_response &&response)
    {
        const bool closes = closesAfterAnswer();
        const bool hasBody = m_method != "HEAD";
        if (!hasBody) {
            response.body.clear();
        }
        m_stream->write(responseBytes(response, body_framing::length, closes));
        finishAnswer(closes);
    }

    void writeHead(const http_response &head)
    {
        m_closesAfterStream = closesAfterAnswer();
        m_stream->write(responseBytes(head, body_framing::chunked, m_closesAfterStream));
    }

    void writePiece(std::string_view bytes)
    {
        m_stream->write(chunkBytes(bytes));
    }

    void writeEnd()
    {
        m_stream->write(lastChunk());
        finishAnswer(m_closesAfterStream);
    }

    /// Closes without the end of the answer.
    void breakOff()
    {
        m_isAnswering = false;
        close();
    }

    void close()
    {
        m_isClosing = true;
        m_closeUntil = deadline::after(boot_clock::now(), lingerTime);
        m_stream->finishWriting();
    }

    /// Ends what has taken too long. Returns true when the connection is to be destroyed.
    bool checkTime(instant now)
    {
        if (m_isClosing) {
            return m_closeUntil.hasPassed(now);
        }
        if (m_isAnswering) {
            return false;
        }
        if (isIdle()) {
            // A caller may rely on the longer of the limits while a change of the limit is on its way to it.
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
        const bool expects = m_request.headers.has("Expect");
        if (expects && !m_isTooLarge) {
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
        if (m_isAnswering) {
            if (m_stream->peek().size() > mostPipelined) {
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
            // After a pause of the whole process, callers may have left long before their requests are read.
            if (m_stream->hasPeerDisconnected()) {
                m_owner.reportLeft(std::move(m_request));
                m_owner.bury(*this);
                break;
            }
            m_owner.passOn(*this, std::move(m_request));
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

    bool closesAfterAnswer() const
    {
        return !m_isKeptAlive || m_owner.m_isShuttingDown;
    }

    void finishAnswer(bool closes)
    {
        m_isAnswering = false;
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
        if (m_isAnswering) {
            m_owner.callerLeft(*this);
        }
        m_owner.bury(*this);
    }

    caller_front_task &m_owner;
    std::unique_ptr<byte_stream> m_stream;
    message_parser m_parser;
    http_request m_request;
    std::string m_method;
    flow_id m_flow;
    instant m_idleSince;
    instant m_requestSince;
    milliseconds m_idleTimeout {};
    deadline m_closeUntil;
    bool m_hasHead = false;
    bool m_isKeptAlive = true;
    bool m_isTooLarge = false;
    bool m_isAnswering = false;
    bool m_isClosing = false;
    bool m_closesAfterStream = false;
};

caller_front_task::caller_front_task(event_loop &loop,
                                     std::shared_ptr<mailbox<front_message>> box,
                                     caller_front_settings settings,
                                     address<dispatch_message> dispatcher,
                                     sink<front_listening> listening,
                                     event_log log)
    : task(std::move(box))
    , m_loop(loop)
    , m_settings(std::move(settings))
    , m_dispatcher(std::move(dispatcher))
    , m_listening(std::move(listening))
    , m_log(std::move(log))
    , m_destroyTimer(loop, [this] { m_buried.clear(); })
    , m_sweep(loop, [this] { sweep(); })
{
}

caller_front_task::~caller_front_task() = default;

outcome<void> caller_front_task::start()
{
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_port = htons(m_settings.address.port);
    if (inet_pton(AF_INET, m_settings.address.ip.c_str(), &address.sin_addr) != 1) {
        return failure(error_code::invalid_settings, m_settings.address.toString() + " is no IPv4 address");
    }
    m_listener.reset(evconnlistener_new_bind(m_loop.base(),
                                             &caller_front_task::onAccept,
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
        return failure(error_code::unavailable, "nobody takes the address");
    }
    return success();
}

void caller_front_task::beginShutdown()
{
    m_isShuttingDown = true;
    m_shutdownSince = boot_clock::now();
    armSweep();
}

void caller_front_task::listener_deleter::operator()(evconnlistener *listener) const
{
    evconnlistener_free(listener);
}

void caller_front_task::onAccept(evconnlistener * /*listener*/, int socket, sockaddr * /*from*/, int /*size*/, void *self)
{
    auto *front = static_cast<caller_front_task *>(self);
    auto fresh = std::make_unique<connection>(*front, socket);
    const connection *key = fresh.get();
    front->m_connections[key] = std::move(fresh);
    front->armSweep();
}

void caller_front_task::handle(front_message &&message)
{
    std::visit([this](auto &&typed) { apply(std::forward<decltype(typed)>(typed)); }, std::move(message));
}

void caller_front_task::apply(caller_full_response &&answer)
{
    if (connection *target = findAnswering(answer.flow)) {
        m_answering.erase(answer.flow);
        target->writeWhole(std::move(answer.response));
    }
}

void caller_front_task::apply(caller_response_head &&answer)
{
    if (connection *target = findAnswering(answer.flow)) {
        target->writeHead(answer.head);
    }
}

void caller_front_task::apply(const caller_body_data &piece)
{
    if (connection *target = findAnswering(piece.flow)) {
        target->writePiece(piece.bytes);
    }
}

void caller_front_task::apply(const caller_response_end &end)
{
    if (connection *target = findAnswering(end.flow)) {
        m_answering.erase(end.flow);
        target->writeEnd();
    }
}

void caller_front_task::apply(const caller_response_abort &broken)
{
    if (connection *target = findAnswering(broken.flow)) {
        m_answering.erase(broken.flow);
        target->breakOff();
    }
}

void caller_front_task::apply(const limits_changed &change)
{
    m_limits = change.limits;
}

caller_front_task::connection *caller_front_task::findAnswering(flow_id flow)
{
    const auto found = m_answering.find(flow);
    return found == m_answering.end() ? nullptr : found->second;
}

void caller_front_task::passOn(connection &from, http_request &&request)
{
    m_lastFlow += flow_id(1);
    from.setFlow(m_lastFlow);
    m_answering[m_lastFlow] = &from;
    if (m_dispatcher.post(request_arrived {m_lastFlow, std::move(request), boot_clock::now()}) != post_result::delivered) {
        m_log.write(log_line("callers", "request_dropped").add("flow", m_lastFlow).add("cause", "the dispatcher is too far behind"));
        m_answering.erase(m_lastFlow);
        http_response busy;
        busy.status = 503;
        busy.headers.add("Retry-After", "0.2");
        from.writeWhole(std::move(busy));
    }
}

void caller_front_task::reportLeft(http_request &&request)
{
    m_lastFlow += flow_id(1);
    if (m_dispatcher.post(request_arrived {m_lastFlow, std::move(request), boot_clock::now(), true}) != post_result::delivered) {
        m_log.write(log_line("callers", "message_dropped").add("flow", m_lastFlow));
    }
}

void caller_front_task::callerLeft(connection &from)
{
    m_answering.erase(from.flow());
    if (m_dispatcher.post(flow_caller_disconnected {from.flow()}) != post_result::delivered) {
        m_log.write(log_line("callers", "message_dropped").add("flow", from.flow()));
    }
}

void caller_front_task::bury(connection &ended)
{
    const auto found = m_connections.find(&ended);
    if (found == m_connections.end()) {
        return;
    }
    m_buried.push_back(std::move(found->second));
    m_connections.erase(found);
    m_destroyTimer.start(deadline());
}

void caller_front_task::sweep()
{
    const instant now = boot_clock::now();
    std::vector<connection *> ended;
    for (const auto &[key, one] : m_connections) {
        if (one->checkTime(now)) {
            ended.push_back(one.get());
        }
    }
    for (connection *one : ended) {
        bury(*one);
    }
    if (m_isShuttingDown) {
        continueShutdown();
    }
    if (!m_connections.empty() || m_isShuttingDown) {
        armSweep();
    }
}

void caller_front_task::continueShutdown()
{
    const auto elapsed = boot_clock::now() - m_shutdownSince;
    if (elapsed > balancerNotice) {
        for (const auto &[key, one] : m_connections) {
            if (one->isIdle()) {
                one->close();
            }
        }
    }
    const bool isQuiet = m_answering.empty() && elapsed > balancerNotice + lingerTime;
    const bool isOver = elapsed > m_settings.grace - endMargin;
    if ((isQuiet || isOver) && !m_isFinished) {
        m_isFinished = true;
        m_listener.reset();
        finish();
    }
}

void caller_front_task::armSweep()
{
    if (!m_sweep.isArmed()) {
        m_sweep.start(deadline::after(boot_clock::now(), sweepPause));
    }
}

} // namespace burdockshelf
