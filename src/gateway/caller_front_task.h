#pragma once

#include "gateway/gateway_messages.h"
#include "http1/byte_stream.h"
#include "http1/message_parser.h"
#include "logging/log_writer_task.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <map>
#include <memory>
#include <vector>

struct evconnlistener;

namespace burdockshelf
{

struct caller_front_settings
{
    socket_address address;
    /// From the begin of the shutdown until the process is ended by force.
    std::chrono::milliseconds grace {8000};
};

/// Told to the outside once the front listens.
struct front_listening
{
    socket_address address;
};

/// Owns the listener for callers and their connections. Reads one request at a time from each, hands it to the dispatcher and writes what
/// comes back.
class caller_front_task : public task<front_message>
{
public:
    caller_front_task(event_loop &loop,
                      std::shared_ptr<mailbox<front_message>> box,
                      caller_front_settings settings,
                      address<dispatch_message> dispatcher,
                      sink<front_listening> listening,
                      event_log log);
    ~caller_front_task() override;

    outcome<void> start() override;
    /// Answers what was taken and closes; ends by force shortly before the grace is over.
    void beginShutdown() override;

private:
    class connection;
    struct listener_deleter
    {
        void operator()(evconnlistener *listener) const;
    };

    static void onAccept(evconnlistener *listener, int socket, struct sockaddr *from, int size, void *self);

    void handle(front_message &&message) override;
    void apply(caller_full_response &&answer);
    void apply(caller_response_head &&answer);
    void apply(const caller_body_data &piece);
    void apply(const caller_response_end &end);
    void apply(const caller_response_abort &broken);
    void apply(const limits_changed &change);
    connection *findAnswering(flow_id flow);
    void passOn(connection &from, http_request &&request);
    /// Tells the dispatcher of a request that nobody waits for.
    void reportLeft(http_request &&request);
    void callerLeft(connection &from);
    void bury(connection &ended);
    void sweep();
    void continueShutdown();
    void armSweep();

    event_loop &m_loop;
    caller_front_settings m_settings;
    address<dispatch_message> m_dispatcher;
    sink<front_listening> m_listening;
    event_log m_log;
    caller_limits m_limits;
    std::unique_ptr<evconnlistener, listener_deleter> m_listener;
    std::map<const connection *, std::unique_ptr<connection>> m_connections;
    std::map<flow_id, connection *> m_answering;
    std::vector<std::unique_ptr<connection>> m_buried;
    flow_id m_lastFlow;
    instant m_shutdownSince;
    bool m_isShuttingDown = false;
    bool m_isFinished = false;
    timer m_destroyTimer;
    timer m_sweep;
};

} // namespace burdockshelf
