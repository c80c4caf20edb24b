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

/// Owns all connections to endpoints. Pools idle connections for later attempts, most recently used first, and reports the outcome of each
/// attempt.
class endpoint_client_task : public task<endpoint_client_message>
{
public:
    endpoint_client_task(event_loop &loop,
                         std::shared_ptr<mailbox<endpoint_client_message>> box,
                         const endpoint_dialect &dialect,
                         address<dispatch_message> dispatcher,
                         event_log log,
                         const std::shared_ptr<caller_memory> &memory = nullptr);
    ~endpoint_client_task() override;

    outcome<void> start() override;

private:
    struct call;
    struct pool
    {
        std::list<std::unique_ptr<client_connection>> idle;
        std::size_t open = 0;
    };

    using call_key = std::pair<flow_id, attempt_number>;

    void handle(endpoint_client_message &&message) override;
    void apply(open_attempt &&command);
    void apply(const close_attempt &command);
    void apply(const fire_and_forget_call &command);
    void apply(const connection_limits &limits);
    std::unique_ptr<client_connection> takeConnection(const open_attempt &command);
    exchange_handlers handlersFor(call &target);
    /// Buffers a part of a response that is not relayed.
    void buffer(call &target, std::string_view bytes);
    /// Ends the attempt with the largest response when all of them together take too much.
    void makeRoom(const call &receiving);
    call &findLargestCall();
    /// Updates the sum of all calls after the call's response has changed.
    void accountFor(call &target);
    void dropResponse(call &target);
    void finishExchange(call &target, exchange_outcome end);
    /// Removes a call that has ended; its connection has been released before.
    void retire(const call_key &key);
    void report(call &target, attempt_outcome end, std::string detail, bool hasConnectionEnded = false);
    /// Starts a call, unless its endpoint has stated that it wants no such request.
    void begin(open_attempt &&command, bool isFireAndForget);
    /// Records what an endpoint states in a response, and ends the calls to it of which nothing has been sent yet.
    void noteNotice(const call &answered, const response_facts &facts);
    /// True when the call's endpoint has stated in a response that it wants no such request now.
    bool isUnwanted(const call &target, instant now) const;
    void withholdUnsent(const endpoint_process &process);
    void withhold(call &target);
    void release(std::unique_ptr<client_connection> connection);
    void destroyLater(std::unique_ptr<client_connection> connection);
    void sweep();
    void post(dispatch_message message);

    event_loop &m_loop;
    const endpoint_dialect &m_dialect;
    address<dispatch_message> m_dispatcher;
    event_log m_log;
    std::map<socket_address, pool> m_pools;
    std::map<call_key, std::unique_ptr<call>> m_calls;
    /// The responses are seen here first, so requests that the dispatcher has sent before it knew of a notice are kept back.
    endpoint_notices m_notices;
    memory_charge m_bufferedMemory;
    std::size_t m_maxPerEndpoint;
    /// Memory of the buffered responses of all calls, and its limit.
    std::size_t m_bufferedBytes = 0;
    std::size_t m_maxBufferedBytes;
    // Connections and calls are destroyed from the event loop, never inside one of their own handlers.
    std::vector<std::unique_ptr<client_connection>> m_pendingDestruction;
    std::vector<std::unique_ptr<call>> m_endedCalls;
    timer m_destroyTimer;
    timer m_sweepTimer;
    flow_id m_lastFireAndForgetFlow;
};

} // namespace burdockshelf
