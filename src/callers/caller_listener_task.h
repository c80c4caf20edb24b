#pragma once

#include "callers/caller_messages.h"
#include "callers/response_writer.h"
#include "core/random_source.h"
#include "http/http_server.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <chrono>
#include <deque>
#include <map>
#include <memory>

namespace burdockshelf
{

struct caller_listener_settings
{
    socket_address listen;
    http_server_limits limits;
    /// Time from SIGTERM until the listener stops accepting, in which the load balancer sees that the instance is not ready.
    std::chrono::milliseconds shutdownGrace {5000};
};

/// The sinks that caller_listener_task posts to.
struct caller_listener_sinks
{
    sink<caller_request> requests;
    sink<caller_disconnected> gone;
    /// Called with the bound address once the listener is open.
    std::function<void(const socket_address &)> onListening;
};

/// Receives the requests of callers: parses them, removes the API key, passes them to the router and writes the responses. Owns the
/// callers' connections.
class caller_listener_task : public task<caller_response>
{
public:
    caller_listener_task(event_loop &loop,
                         std::shared_ptr<mailbox<caller_response>> box,
                         caller_listener_settings settings,
                         caller_listener_sinks sinks);

    outcome<void> start() override;
    void beginShutdown() override;

protected:
    void handle(caller_response &&part) override;

private:
    void onRequest(const std::shared_ptr<http_exchange> &exchange);
    void onCallerClosed(const request_id &request);
    void reportDisconnects();
    void finishWhenIdle();

    caller_listener_settings m_settings;
    caller_listener_sinks m_sinks;
    random_source m_random;
    http_server m_server;
    std::map<request_id, response_writer> m_writers;
    // Requests whose caller disconnected and of which the router has not been told because its mailbox was full.
    std::deque<request_id> m_unreportedDisconnects;
    timer m_disconnectRetryTimer;
    timer m_graceTimer;
    bool m_isClosing = false;
    bool m_isFinished = false;
};

} // namespace burdockshelf
