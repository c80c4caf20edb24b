#pragma once

#include "mesh/http2_session.h"
#include "mesh/mesh_messages.h"
#include "mesh/mesh_settings.h"
#include "mesh/peer_sinks.h"
#include "runtime/task.h"
#include "runtime/timer.h"
#include "wire/peer_codec.h"

#include <map>
#include <memory>
#include <optional>

struct evconnlistener;
struct sockaddr;

namespace burdockshelf
{

/// Accepts connections from peers and passes their messages to the tasks that handle them. A connection starts with a hello message that
/// identifies the peer; the hello is accepted even when the instance list does not contain that incarnation yet.
class mesh_listener_task : public task<mesh_listener_message>
{
public:
    mesh_listener_task(event_loop &loop,
                       std::shared_ptr<mailbox<mesh_listener_message>> box,
                       mesh_settings settings,
                       peer_codec codec,
                       peer_sinks sinks,
                       sink<mesh_listening> listening);
    ~mesh_listener_task() override;

    outcome<void> start() override;
    void beginShutdown() override;

private:
    struct connection
    {
        std::unique_ptr<http2_session> session;
        socket_address address;
        std::optional<peer> who;
    };

    struct listener_deleter
    {
        void operator()(evconnlistener *handle) const;
    };

    static void onAccept(evconnlistener *listener, int socket, sockaddr *address, int size, void *self);
    static void onAcceptError(evconnlistener *listener, void *self);

    void handle(mesh_listener_message &&message) override;
    void accept(int socket, socket_address from);
    void receive(std::uint64_t number, http2_stream_id stream, const http2_request &request);
    void receiveHello(connection &from, http2_stream_id stream, const std::string &body);
    void dispatch(std::uint64_t number, const connection &from, http2_stream_id stream, peer_message message);
    void refuse(const connection &from, http2_stream_id stream, const error &cause);
    void removeClosed();
    void resumeAccepting();

    event_loop &m_loop;
    mesh_settings m_settings;
    peer_codec m_codec;
    peer_sinks m_sinks;
    sink<mesh_listening> m_listening;
    std::unique_ptr<evconnlistener, listener_deleter> m_listener;
    std::map<std::uint64_t, connection> m_connections;
    std::uint64_t m_lastConnectionNumber = 0;
    // Removes closed connections outside of their sessions' callbacks, which must not destroy the session.
    timer m_removalTimer;
    timer m_acceptTimer;
    timer m_drainTimer;
    bool m_isShuttingDown = false;
};

} // namespace burdockshelf
