#pragma once

#include "gateway/gateway_messages.h"
#include "http1/client_connection.h"
#include "logging/log_writer_task.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <list>
#include <map>
#include <memory>
#include <vector>

namespace burdockshelf
{

/// Owns all connections to endpoints. Keeps idle ones for later attempts, newest first, and reports how each attempt ended.
class endpoint_link_task : public task<endpoint_link_message>
{
public:
    endpoint_link_task(event_loop &loop,
                       std::shared_ptr<mailbox<endpoint_link_message>> box,
                       const endpoint_dialect &dialect,
                       address<dispatch_message> dispatcher,
                       event_log log);
    ~endpoint_link_task() override;

    outcome<void> start() override;

private:
    struct call;
    struct pool
    {
        std::list<std::unique_ptr<client_connection>> idle;
        std::size_t open = 0;
    };

    using call_key = std::pair<flow_id, attempt_number>;

    void handle(endpoint_link_message &&message) override;
    void apply(open_attempt &&order);
    void apply(const close_attempt &order);
    void apply(const call_and_forget &order);
    void apply(const connection_bounds &bounds);
    std::unique_ptr<client_connection> takeConnection(const socket_address &to, bool isRetryable);
    exchange_handlers handlersFor(call &target);
    void finishExchange(call &target, exchange_end end);
    void report(const call &target, attempt_outcome end, std::string detail);
    void release(std::unique_ptr<client_connection> connection);
    void bury(std::unique_ptr<client_connection> connection);
    void sweep();
    void post(dispatch_message message);

    event_loop &m_loop;
    const endpoint_dialect &m_dialect;
    address<dispatch_message> m_dispatcher;
    event_log m_log;
    std::map<socket_address, pool> m_pools;
    std::map<call_key, std::unique_ptr<call>> m_calls;
    std::size_t m_perEndpoint;
    // Connections and calls are destroyed from the loop, never inside one of their own handlers.
    std::vector<std::unique_ptr<client_connection>> m_buried;
    std::vector<std::unique_ptr<call>> m_endedCalls;
    timer m_destroyTimer;
    timer m_sweep;
    flow_id m_lastForgotten;
};

} // namespace burdockshelf
