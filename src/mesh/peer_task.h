#pragma once

#include "core/random_source.h"
#include "mesh/http2_session.h"
#include "mesh/mesh_messages.h"
#include "mesh/mesh_settings.h"
#include "mesh/reconnect_backoff.h"
#include "mesh/status_publisher.h"
#include "runtime/task.h"
#include "runtime/timer.h"
#include "wire/peer_codec.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace burdockshelf
{

/// Maintains the connection to one peer: connects, sends the hello, checks the connection with heartbeats and reconnects when it is lost.
/// Requests that arrive while the connection is down fail at once with connection_refused; the caller learns from peer_status when to
/// retry.
class peer_task : public task<peer_task_message>
{
public:
    peer_task(event_loop &loop,
              std::shared_ptr<mailbox<peer_task_message>> box,
              mesh_settings settings,
              peer target,
              peer_codec codec,
              std::vector<sink<peer_status>> statusSinks,
              random_source random);
    ~peer_task() override;

    outcome<void> start() override;
    void beginShutdown() override;

private:
    struct exchange
    {
        std::uint64_t number = 0;
        sink<peer_response> reply;
        deadline until;
    };

    void handle(peer_task_message &&message) override;
    void sendMessage(peer_request &&send);
    void connect();
    void sendHello();
    void receive(http2_stream_id stream, const outcome<http2_response> &response);
    void receiveHello(const outcome<http2_response> &response);
    outcome<peer_message> decodeResponse(const outcome<http2_response> &response) const;
    void endExchange(http2_stream_id stream, outcome<peer_message> answer);
    void endAllExchanges(const error &cause);
    void expireExchanges();
    void startExpiryTimer();
    void sendHeartbeat();
    void disconnect(const error &cause);
    void handlePhaseTimer();
    void publish(bool isUp);
    void finishWhenIdle();

    event_loop &m_loop;
    mesh_settings m_settings;
    peer m_target;
    peer_codec m_codec;
    status_publisher m_status;
    random_source m_random;
    reconnect_backoff m_backoff;
    std::unique_ptr<http2_session> m_session;
    std::optional<http2_stream_id> m_helloStream;
    std::map<http2_stream_id, exchange> m_exchanges;
    std::set<std::pair<deadline, http2_stream_id>> m_expiries;
    timer m_expiryTimer;
    timer m_heartbeatTimer;
    // Time limit of the current phase: connect and hello, the wait before the next connection attempt, or the drain at a shutdown.
    timer m_phaseTimer;
    // Calls disconnect() outside of the session's callbacks, since it destroys the session.
    timer m_disconnectTimer;
    error m_closeCause;
    error m_lastLoggedCause;
    // The connection counts as lost when no heartbeat is answered before this time.
    deadline m_heartbeatDeadline = deadline::never();
    bool m_isUp = false;
    bool m_isShuttingDown = false;
};

} // namespace burdockshelf
