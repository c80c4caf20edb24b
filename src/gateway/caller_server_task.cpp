#include "gateway/caller_server_task.h"

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
constexpr int listenBacklog = 1024;
// Received bytes that are not read yet count towards the process; enough for a caller in another region at 10 Mbit/s.
constexpr int receiveBufferBytes = 64 * 1024;

} // namespace

caller_server_task::caller_server_task(event_loop &loop,
                                       std::shared_ptr<mailbox<caller_server_message>> box,
                                       caller_server_settings settings,
                                       std::shared_ptr<caller_memory> memory,
                                       const caller_dialect &dialect,
                                       address<dispatch_message> dispatcher,
                                       sink<caller_server_listening> listening,
                                       event_log log)
    : task(std::move(box))
    , m_loop(loop)
    , m_settings(std::move(settings))
    , m_dialect(dialect)
    , m_dispatcher(std::move(dispatcher))
    , m_listening(std::move(listening))
    , m_log(std::move(log))
    , m_memory(std::move(memory))
    , m_destroyTimer(loop, [this] { m_pendingDestruction.clear(); })
    , m_sweepTimer(loop, [this] { sweep(); })
{
}

caller_server_task::~caller_server_task()
{
    for (const auto &[key, open] : m_connections) {
        m_memory->removeConnection(open->source());
    }
}

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
    // Accepted sockets inherit the buffer size.
    setsockopt(evconnlistener_get_fd(m_listener.get()), SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof(receiveBufferBytes));
    evconnlistener_set_error_cb(m_listener.get(), &caller_server_task::onAcceptError);
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
    m_shutdown = shutdown_schedule(boot_clock::now(), m_settings.gracePeriod);
    armSweep();
}

void caller_server_task::listener_deleter::operator()(evconnlistener *listener) const
{
    evconnlistener_free(listener);
}

void caller_server_task::onAccept(evconnlistener * /*listener*/, int socket, sockaddr *from, int /*size*/, void *self)
{
    const auto *address = reinterpret_cast<const sockaddr_in *>(from);
    static_cast<caller_server_task *>(self)->accept(socket, static_cast<source_address>(address->sin_addr.s_addr));
}

void caller_server_task::onAcceptError(evconnlistener * /*listener*/, void *self)
{
    static_cast<caller_server_task *>(self)->pauseAccepting();
}

void caller_server_task::accept(int socket, source_address source)
{
    armSweep();
    if (!makeRoomForConnection(source)) {
        const memory_bound exceeded = m_memory->boundForConnection(source);
        m_memory->countShed(exceeded);
        if (mayLog()) {
            m_log.write(log_line("callers", "connection_refused")
                            .add("bound", memoryBoundName(exceeded))
                            .add("connections", m_memory->connections())
                            .add("max_connections", m_memory->limits().connections));
        }
        evutil_closesocket(socket);
        if (exceeded == memory_bound::total) {
            pauseAccepting();
        }
        return;
    }
    auto accepted = std::make_unique<caller_connection>(m_loop, socket, source, static_cast<caller_connection_owner &>(*this));
    caller_connection &connection = *accepted;
    m_memory->addConnection(source);
    m_connections[&connection] = std::move(accepted);
    m_idle.touch(connection);
}

void caller_server_task::pauseAccepting()
{
    m_isAcceptingPaused = true;
    evconnlistener_disable(m_listener.get());
    armSweep();
}

void caller_server_task::handle(caller_server_message &&message)
{
    std::visit([this](auto &&typed) { apply(std::forward<decltype(typed)>(typed)); }, std::move(message));
}

void caller_server_task::apply(caller_full_response &&message)
{
    if (caller_connection *target = findByFlow(message.flow)) {
        m_connectionsByFlow.erase(message.flow);
        target->writeFullResponse(std::move(message.response));
        target->accountForUnsent(boot_clock::now());
    }
}

void caller_server_task::apply(caller_response_head &&message)
{
    if (caller_connection *target = findByFlow(message.flow)) {
        target->writeResponseHead(message.head);
    }
}

void caller_server_task::apply(const caller_body_data &data)
{
    if (caller_connection *target = findByFlow(data.flow)) {
        target->writeBodyData(data.bytes);
        target->accountForUnsent(boot_clock::now());
        if (target->isTooSlow()) {
            m_log.write(log_line("callers", "caller_too_slow").add("request", target->request()).add("flow", data.flow));
            reportCallerDisconnected(*target);
            destroyLater(*target);
        }
    }
}

void caller_server_task::apply(const caller_response_end &end)
{
    if (caller_connection *target = findByFlow(end.flow)) {
        m_connectionsByFlow.erase(end.flow);
        target->writeResponseEnd();
    }
}

void caller_server_task::apply(const caller_response_abort &abort)
{
    if (caller_connection *target = findByFlow(abort.flow)) {
        m_connectionsByFlow.erase(abort.flow);
        target->abortResponse();
    }
}

void caller_server_task::apply(const limits_changed &change)
{
    m_limits = change.limits;
}

caller_connection *caller_server_task::findByFlow(flow_id flow)
{
    const auto found = m_connectionsByFlow.find(flow);
    return found == m_connectionsByFlow.end() ? nullptr : found->second;
}

const caller_limits &caller_server_task::limits() const
{
    return m_limits;
}

bool caller_server_task::isShuttingDown() const
{
    return m_isShuttingDown;
}

void caller_server_task::logUnreadableRequest(int status)
{
    if (mayLog()) {
        m_log.write(log_line("callers", "request_unreadable").add("status", status));
    }
}

void caller_server_task::dispatchRequest(caller_connection &from, http_request &&request, memory_charge &&memory)
{
    m_lastFlow += flow_id(1);
    from.setFlow(m_lastFlow, m_dialect.decodeRequestId(request));
    m_connectionsByFlow[m_lastFlow] = &from;
    if (m_dispatcher.post(request_arrived {m_lastFlow, std::move(request), boot_clock::now(), false, std::move(memory)})
        != post_result::delivered) {
        m_log.write(log_line("callers", "request_dropped")
                        .add("request", from.request())
                        .add("flow", m_lastFlow)
                        .add("cause", "the dispatcher's mailbox is full or closed"));
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
    if (m_dispatcher.post(request_arrived {m_lastFlow, std::move(request), boot_clock::now(), true, {}}) != post_result::delivered) {
        m_log.write(log_line("callers", "message_dropped").add("flow", m_lastFlow));
    }
}

void caller_server_task::reportCallerDisconnected(caller_connection &from)
{
    m_connectionsByFlow.erase(from.flow());
    if (m_dispatcher.post(flow_caller_disconnected {from.flow()}) != post_result::delivered) {
        m_log.write(log_line("callers", "message_dropped").add("flow", from.flow()));
    }
}

void caller_server_task::destroyLater(caller_connection &ended)
{
    const auto found = m_connections.find(&ended);
    if (found == m_connections.end()) {
        return;
    }
    m_reading.remove(ended);
    m_idle.remove(ended);
    m_memory->removeConnection(ended.source());
    m_pendingDestruction.push_back(std::move(found->second));
    m_connections.erase(found);
    m_destroyTimer.start(deadline());
}

void caller_server_task::sweep()
{
    const instant now = boot_clock::now();
    std::vector<caller_connection *> ended;
    for (const auto &[key, candidate] : m_connections) {
        candidate->accountForUnsent(now);
        if (candidate->checkTimeouts(now)) {
            ended.push_back(candidate.get());
        }
    }
    for (caller_connection *candidate : ended) {
        logIfCut(*candidate, "linger timeout");
        destroyLater(*candidate);
    }
    disconnectUnreading(now);
    if (m_isAcceptingPaused && m_listener) {
        m_isAcceptingPaused = false;
        evconnlistener_enable(m_listener.get());
    }
    if (m_isShuttingDown) {
        continueShutdown();
    }
    if (!m_connections.empty() || m_isShuttingDown || m_isAcceptingPaused) {
        armSweep();
    }
}

void caller_server_task::continueShutdown()
{
    const instant now = boot_clock::now();
    if (m_shutdown.closeIdleFrom.hasPassed(now)) {
        for (const auto &[key, candidate] : m_connections) {
            if (candidate->isIdle()) {
                candidate->close();
            }
        }
    }
    if (m_shutdown.finishRequestsBy.hasPassed(now)) {
        for (const auto &[key, candidate] : m_connections) {
            candidate->refuseUnreadRequest();
        }
    }
    const bool mayEnd = (m_shutdown.endFrom.hasPassed(now) && areResponsesSent()) || m_shutdown.closeBy.hasPassed(now);
    if (mayEnd && !m_isFinished) {
        m_isFinished = true;
        for (const auto &[key, candidate] : m_connections) {
            logIfCut(*candidate, "shutdown");
        }
        m_listener.reset();
        finish();
    }
}

bool caller_server_task::areResponsesSent() const
{
    return std::none_of(
        m_connections.begin(), m_connections.end(), [](const auto &entry) { return entry.second->hasUnfinishedExchange(); });
}

void caller_server_task::logIfCut(const caller_connection &ended, std::string_view cause)
{
    if (ended.isResponsePending() || ended.unsentBytes() > 0) {
        m_log.write(log_line("callers", "response_cut")
                        .add("request", ended.request())
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
