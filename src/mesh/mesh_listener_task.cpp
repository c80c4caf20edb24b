#include "mesh/mesh_listener_task.h"

#include "mesh/native_address.h"

#include <cerrno>
#include <cstring>
#include <utility>

#include <event2/listener.h>
#include <event2/util.h>
#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

constexpr int statusOk = 200;
constexpr int statusRefused = 400;
constexpr std::string_view helloPath = "/m/hello";
constexpr std::string_view messagePrefix = "/m/";
constexpr int listenBacklog = 128;
/// Wait after a failed accept, for example when no file descriptors are free. The listening socket stays readable in that state, so an
/// immediate retry would loop without a pause.
constexpr std::chrono::milliseconds acceptRetryDelay {100};
/// Idle timeout of accepted connections in heartbeat intervals. Live peers ping several times in this time, so a connection on which no
/// byte arrives is dead.
constexpr int idleTimeoutHeartbeats = 20;

error deliveryError(post_result result)
{
    if (result == post_result::full) {
        return {error_code::overloaded, "the mailbox of the task that handles the message is full"};
    }
    return {error_code::unavailable, "no running task handles this message"};
}

} // namespace

mesh_listener_task::mesh_listener_task(event_loop &loop,
                                       std::shared_ptr<mailbox<mesh_listener_message>> box,
                                       mesh_settings settings,
                                       peer_codec codec,
                                       peer_sinks sinks,
                                       sink<mesh_listening> listening)
    : task(std::move(box))
    , m_loop(loop)
    , m_settings(std::move(settings))
    , m_codec(codec)
    , m_sinks(std::move(sinks))
    , m_listening(std::move(listening))
    , m_removalTimer(loop, [this] { removeClosed(); })
    , m_acceptTimer(loop, [this] { resumeAccepting(); })
    , m_drainTimer(loop, [this] { finish(); })
{
    m_settings.limits.silence = m_settings.heartbeatInterval * idleTimeoutHeartbeats;
}

mesh_listener_task::~mesh_listener_task() = default;

outcome<void> mesh_listener_task::start()
{
    const native_address address(m_settings.listenAddress);
    m_listener.reset(evconnlistener_new_bind(m_loop.base(),
                                             &mesh_listener_task::onAccept,
                                             this,
                                             LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                                             listenBacklog,
                                             address.data(),
                                             address.size()));
    if (m_listener == nullptr) {
        return failure(error_code::unavailable,
                       "mesh: cannot listen on " + m_settings.listenAddress.toString() + ": " + std::strerror(errno));
    }
    evconnlistener_set_error_cb(m_listener.get(), &mesh_listener_task::onAcceptError);
    const socket_address bound = native_address::ofSocket(evconnlistener_get_fd(m_listener.get()));
    LOG(INFO) << "mesh: listening on " << bound << ".";
    LOG_IF(WARNING, m_listening.post({bound}) == post_result::full) << "mesh: listening address dropped, the receiver's mailbox is full.";
    return success();
}

void mesh_listener_task::beginShutdown()
{
    m_isShuttingDown = true;
    m_listener.reset();
    m_drainTimer.start(deadline::after(boot_clock::now(), m_settings.drainTime));
    for (auto &[number, entry] : m_connections) {
        entry.session->shutDown();
    }
    m_removalTimer.start(deadline());
}

void mesh_listener_task::handle(mesh_listener_message &&message)
{
    const auto reply = std::get<listener_reply>(std::move(message));
    const auto found = m_connections.find(reply.connection);
    if (found == m_connections.end()) {
        return;
    }
    encoded_peer_message text = m_codec.encode(reply.message);
    found->second.session->respond(http2_stream_id(reply.stream), {statusOk, std::move(text.kind), std::move(text.body)});
}

void mesh_listener_task::accept(int socket, socket_address from)
{
    if (m_connections.size() >= m_settings.maxConnections) {
        LOG_EVERY_N(WARNING, 100) << "mesh: too many connections, closed the connection from " << from << ".";
        evutil_closesocket(socket);
        return;
    }
    const std::uint64_t number = ++m_lastConnectionNumber;
    http2_handlers handlers;
    handlers.onRequest = [this, number](http2_stream_id stream, const http2_request &request) {
        receive(number, stream, request);
    };
    handlers.onClosed = [this](const error &) {
        m_removalTimer.start(deadline());
    };
    connection &entry = m_connections[number];
    entry.address = std::move(from);
    entry.session = std::make_unique<http2_session>(m_loop, socket, m_settings.limits, std::move(handlers));
}

void mesh_listener_task::receive(std::uint64_t number, http2_stream_id stream, const http2_request &request)
{
    connection &from = m_connections.at(number);
    if (request.path == helloPath) {
        receiveHello(from, stream, request.body);
        return;
    }
    if (!from.who) {
        refuse(from, stream, {error_code::forbidden, "a connection must start with a hello"});
        return;
    }
    if (!request.path.starts_with(messagePrefix)) {
        refuse(from, stream, {error_code::unsupported, "unknown path"});
        return;
    }
    auto message = m_codec.decode(std::string_view(request.path).substr(messagePrefix.size()), request.body);
    if (!message) {
        LOG_EVERY_N(WARNING, 100) << "mesh: a message from " << from.who->instance << " was refused: " << message.error() << ".";
        refuse(from, stream, message.error());
        return;
    }
    dispatch(number, from, stream, std::move(message).value());
}

void mesh_listener_task::receiveHello(connection &from, http2_stream_id stream, const std::string &body)
{
    const auto hello = m_codec.decodeHello(body);
    if (!hello) {
        refuse(from, stream, hello.error());
        return;
    }
    from.who = peer {hello.value().instance, hello.value().incarnation, hello.value().dataCentre, from.address};
    from.session->respond(stream, {statusOk, "hello", m_codec.encodeHello(m_settings.self)});
}

void mesh_listener_task::dispatch(std::uint64_t number, const connection &from, http2_stream_id stream, peer_message message)
{
    const sink<peer_message_received> *to = m_sinks.find(message);
    if (to == nullptr) {
        refuse(from, stream, {error_code::unsupported, "a response was sent as a request"});
        return;
    }
    const sink<peer_message> reply([listener = self(), number, stream](peer_message &&answer) {
        return listener.post(listener_reply {number, stream.value(), std::move(answer)});
    });
    const post_result result = to->post({*from.who, std::move(message), reply});
    if (result != post_result::delivered) {
        refuse(from, stream, deliveryError(result));
    }
}

void mesh_listener_task::refuse(const connection &from, http2_stream_id stream, const error &cause)
{
    from.session->respond(stream, {statusRefused, "error", m_codec.encodeError(cause)});
}

void mesh_listener_task::removeClosed()
{
    std::erase_if(m_connections, [](const auto &entry) { return entry.second.session->isClosed(); });
    if (m_isShuttingDown && m_connections.empty()) {
        m_drainTimer.stop();
        finish();
    }
}

void mesh_listener_task::resumeAccepting()
{
    if (m_listener != nullptr) {
        evconnlistener_enable(m_listener.get());
    }
}

void mesh_listener_task::onAccept(evconnlistener * /*listener*/, int socket, sockaddr *address, int /*size*/, void *self)
{
    static_cast<mesh_listener_task *>(self)->accept(socket, native_address::toSocketAddress(address));
}

void mesh_listener_task::onAcceptError(evconnlistener *listener, void *self)
{
    LOG_EVERY_N(WARNING, 100) << "mesh: a connection could not be accepted: " << std::strerror(errno) << ".";
    evconnlistener_disable(listener);
    static_cast<mesh_listener_task *>(self)->m_acceptTimer.start(deadline::after(boot_clock::now(), acceptRetryDelay));
}

void mesh_listener_task::listener_deleter::operator()(evconnlistener *handle) const
{
    evconnlistener_free(handle);
}

} // namespace burdockshelf
