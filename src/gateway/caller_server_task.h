#pragma once

#include "gateway/caller_connection.h"
#include "gateway/caller_memory.h"
#include "gateway/caller_waiting_list.h"
#include "gateway/dialects.h"
#include "gateway/gateway_messages.h"
#include "gateway/shutdown_schedule.h"
#include "logging/log_writer_task.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <map>
#include <memory>
#include <string_view>
#include <vector>

struct evconnlistener;

namespace burdockshelf
{

struct caller_server_settings
{
    socket_address address;
    /// Time from the start of the shutdown until the process is killed.
    std::chrono::milliseconds gracePeriod {8000};
};

/// The address that the listener is bound to, reported once it listens.
struct caller_server_listening
{
    socket_address address;
};

/// Owns the listener for callers and their connections. Reads one request at a time from each connection, forwards it to the dispatcher and
/// writes the response.
class caller_server_task : public task<caller_server_message>, private caller_connection_owner
{
public:
    caller_server_task(event_loop &loop,
                       std::shared_ptr<mailbox<caller_server_message>> box,
                       caller_server_settings settings,
                       std::shared_ptr<caller_memory> memory,
                       const caller_dialect &dialect,
                       address<dispatch_message> dispatcher,
                       sink<caller_server_listening> listening,
                       event_log log);
    ~caller_server_task() override;

    outcome<void> start() override;
    /// Completes the requests in progress and closes the connections. Finishes shortly before the grace period ends in any case.
    void beginShutdown() override;

private:
    struct listener_deleter
    {
        void operator()(evconnlistener *listener) const;
    };

    static void onAccept(evconnlistener *listener, int socket, struct sockaddr *from, int size, void *self);
    static void onAcceptError(evconnlistener *listener, void *self);

    void handle(caller_server_message &&message) override;
    void apply(caller_full_response &&message);
    void apply(caller_response_head &&message);
    void apply(const caller_body_data &data);
    void apply(const caller_response_end &end);
    void apply(const caller_response_abort &abort);
    void apply(const limits_changed &change);
    const caller_limits &limits() const override;
    bool isShuttingDown() const override;
    void dispatchRequest(caller_connection &from, http_request &&request, memory_charge &&memory) override;
    void reportAbandonedRequest(http_request &&request) override;
    void reportCallerDisconnected(caller_connection &from) override;
    void logUnreadableRequest(int status) override;
    void destroyLater(caller_connection &ended) override;
    memory_charge chargeFor(source_address source) override;
    bool makeRoom(const caller_connection &needy, memory_bound exceeded) override;
    void noteShed(const caller_connection &shed, memory_bound exceeded, std::string_view action) override;
    void noteProgress(caller_connection &by) override;
    void noteResponsePending(caller_connection &on) override;

    void accept(int socket, source_address source);
    /// Closes connections without progress until one more fits. Returns false if it does not.
    bool makeRoomForConnection(source_address source);
    /// While responses exceed the account, disconnects the callers that have not read most.
    void disconnectUnreading(instant now);
    /// Stops accepting for a moment, because no connection or descriptor is free; further callers wait in the kernel.
    void pauseAccepting();
    /// Bounds the lines about callers that are refused or closed.
    bool mayLog();

    caller_connection *findByFlow(flow_id flow);
    void sweep();
    void continueShutdown();
    bool areResponsesSent() const;
    /// Logs a connection that is about to be closed while a response on it is incomplete.
    void logIfCut(const caller_connection &ended, std::string_view cause);
    void armSweep();

    event_loop &m_loop;
    caller_server_settings m_settings;
    const caller_dialect &m_dialect;
    address<dispatch_message> m_dispatcher;
    sink<caller_server_listening> m_listening;
    event_log m_log;
    std::shared_ptr<caller_memory> m_memory;
    caller_limits m_limits;
    std::unique_ptr<evconnlistener, listener_deleter> m_listener;
    std::map<const caller_connection *, std::unique_ptr<caller_connection>> m_connections;
    std::map<flow_id, caller_connection *> m_connectionsByFlow;
    std::vector<std::unique_ptr<caller_connection>> m_pendingDestruction;
    /// Connections in the middle of a request, and those between requests.
    caller_waiting_list m_reading;
    caller_waiting_list m_idle;
    flow_id m_lastFlow;
    deadline m_linePeriodEnd;
    int m_linesInPeriod = 0;
    bool m_isAcceptingPaused = false;
    shutdown_schedule m_shutdown;
    bool m_isShuttingDown = false;
    bool m_isFinished = false;
    timer m_destroyTimer;
    timer m_sweepTimer;
};

} // namespace burdockshelf
