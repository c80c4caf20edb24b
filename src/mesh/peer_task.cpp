#include "mesh/peer_task.h"

#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

constexpr int statusOk = 200;
constexpr std::string_view helloPath = "/m/hello";
constexpr std::string_view messagePrefix = "/m/";

} // namespace

peer_task::peer_task(event_loop &loop,
                     std::shared_ptr<mailbox<peer_task_message>> box,
                     mesh_settings settings,
                     peer target,
                     peer_codec codec,
                     std::vector<sink<peer_status>> statusSinks,
                     random_source random)
    : task(std::move(box))
    , m_loop(loop)
    , m_settings(std::move(settings))
    , m_target(std::move(target))
    , m_codec(codec)
    , m_status(std::move(statusSinks))
    , m_random(random)
    , m_backoff(m_settings.backoff)
    , m_expiryTimer(loop, [this] { expireExchanges(); })
    , m_heartbeatTimer(loop, [this] { sendHeartbeat(); })
    , m_phaseTimer(loop, [this] { handlePhaseTimer(); })
    , m_disconnectTimer(loop, [this] { disconnect(m_closeCause); })
{
}

peer_task::~peer_task()
{
    endAllExchanges({error_code::connection_lost, "the connection to the peer has ended"});
    if (m_isUp) {
        publish(false);
    }
}

outcome<void> peer_task::start()
{
    connect();
    return success();
}

void peer_task::beginShutdown()
{
    m_isShuttingDown = true;
    if (!m_isUp) {
        finish();
        return;
    }
    m_phaseTimer.start(deadline::after(boot_clock::now(), m_settings.drainTime));
    m_session->shutDown();
    finishWhenIdle();
}

void peer_task::handle(peer_task_message &&message)
{
    sendMessage(std::move(std::get<peer_request>(message)));
}

void peer_task::sendMessage(peer_request &&send)
{
    const auto refuse = [&](error cause) {
        LOG_IF(WARNING,
               send.reply.post({send.exchange, m_target.instance, boost::outcome_v2::failure(std::move(cause))}) == post_result::full)
            << "mesh: the refusal of a request to " << m_target.instance << " was dropped, the requester's mailbox is full.";
    };
    if (send.until.hasPassed(boot_clock::now())) {
        refuse({error_code::deadline_exceeded, "the deadline passed before the message was sent"});
        return;
    }
    if (!m_isUp || m_isShuttingDown) {
        refuse({error_code::connection_refused, "the peer is not connected"});
        return;
    }
    encoded_peer_message text = m_codec.encode(send.message);
    const auto stream = m_session->sendRequest({std::string(messagePrefix) + text.kind, std::move(text.body)});
    if (!stream) {
        refuse(stream.error());
        return;
    }
    m_exchanges.emplace(stream.value(), exchange {send.exchange, std::move(send.reply), send.until});
    m_expiries.emplace(send.until, stream.value());
    startExpiryTimer();
}

void peer_task::connect()
{
    http2_handlers handlers;
    handlers.onConnected = [this] {
        sendHello();
    };
    handlers.onResponse = [this](http2_stream_id stream, const outcome<http2_response> &response) {
        receive(stream, response);
    };
    handlers.onPong = [this] {
        m_heartbeatDeadline = deadline::after(boot_clock::now(), m_settings.heartbeatTimeout);
    };
    handlers.onClosed = [this](error cause) {
        m_closeCause = std::move(cause);
        m_disconnectTimer.start(deadline());
    };
    m_phaseTimer.start(deadline::after(boot_clock::now(), m_settings.connectTimeout));
    m_session = std::make_unique<http2_session>(m_loop, m_target.address, m_settings.limits, std::move(handlers));
}

void peer_task::sendHello()
{
    const auto stream = m_session->sendRequest({std::string(helloPath), m_codec.encodeHello(m_settings.self)});
    if (stream) {
        m_helloStream = stream.value();
    }
}

void peer_task::receive(http2_stream_id stream, const outcome<http2_response> &response)
{
    if (m_helloStream == stream) {
        m_helloStream.reset();
        receiveHello(response);
        return;
    }
    endExchange(stream, decodeResponse(response));
}

void peer_task::receiveHello(const outcome<http2_response> &response)
{
    const auto hello = response && response.value().status == statusOk
        ? m_codec.decodeHello(response.value().body)
        : outcome<peer_hello>(failure(error_code::invalid_message, "the hello was refused"));
    const bool isExpected = hello && hello.value().instance == m_target.instance;
    if (!isExpected) {
        m_closeCause = hello ? error {error_code::conflict, "another instance responded at the address"} : hello.error();
        m_disconnectTimer.start(deadline());
        return;
    }
    // The instance list may be outdated; the hello carries the peer's current incarnation.
    m_target.incarnation = hello.value().incarnation;
    m_backoff.reset();
    m_phaseTimer.stop();
    m_isUp = true;
    m_lastLoggedCause = {};
    const instant now = boot_clock::now();
    m_heartbeatDeadline = deadline::after(now, m_settings.heartbeatTimeout);
    m_heartbeatTimer.start(deadline::after(now, m_settings.heartbeatInterval));
    LOG(INFO) << "mesh: connected to " << m_target.instance << " at " << m_target.address << ".";
    publish(true);
}

outcome<peer_message> peer_task::decodeResponse(const outcome<http2_response> &response) const
{
    if (!response) {
        return boost::outcome_v2::failure(response.error());
    }
    if (response.value().status != statusOk) {
        return boost::outcome_v2::failure(m_codec.decodeError(response.value().body));
    }
    return m_codec.decode(response.value().kind, response.value().body);
}

void peer_task::endExchange(http2_stream_id stream, outcome<peer_message> answer)
{
    const auto found = m_exchanges.find(stream);
    if (found == m_exchanges.end()) {
        return;
    }
    const exchange ended = std::move(found->second);
    m_exchanges.erase(found);
    m_expiries.erase({ended.until, stream});
    LOG_IF(WARNING, ended.reply.post({ended.number, m_target.instance, std::move(answer)}) == post_result::full)
        << "mesh: the response of " << m_target.instance << " was dropped, the requester's mailbox is full.";
    finishWhenIdle();
}

void peer_task::endAllExchanges(const error &cause)
{
    while (!m_exchanges.empty()) {
        endExchange(m_exchanges.begin()->first, boost::outcome_v2::failure(cause));
    }
}

void peer_task::expireExchanges()
{
    const instant now = boot_clock::now();
    while (!m_expiries.empty() && m_expiries.begin()->first.hasPassed(now)) {
        const http2_stream_id stream = m_expiries.begin()->second;
        m_session->cancel(stream);
        endExchange(stream, failure(error_code::deadline_exceeded, "the peer did not respond before the deadline"));
    }
    startExpiryTimer();
}

void peer_task::startExpiryTimer()
{
    m_expiryTimer.start(m_expiries.empty() ? deadline::never() : m_expiries.begin()->first);
}

void peer_task::sendHeartbeat()
{
    const instant now = boot_clock::now();
    m_status.retry();
    if (m_heartbeatDeadline.hasPassed(now)) {
        disconnect({error_code::connection_lost, "heartbeats are not answered"});
        return;
    }
    m_session->ping();
    m_heartbeatTimer.start(deadline::after(now, m_settings.heartbeatInterval));
}

void peer_task::disconnect(const error &cause)
{
    // Repeated failures with the same cause are logged once, not at each connection attempt.
    LOG_IF(WARNING, !m_isShuttingDown && cause != m_lastLoggedCause)
        << "mesh: no connection to " << m_target.instance << " at " << m_target.address << ": " << cause << ".";
    m_lastLoggedCause = cause;
    m_session.reset();
    m_helloStream.reset();
    m_heartbeatTimer.stop();
    m_disconnectTimer.stop();
    const bool wasUp = std::exchange(m_isUp, false);
    endAllExchanges({error_code::connection_lost, cause.message});
    startExpiryTimer();
    if (wasUp) {
        publish(false);
    }
    if (m_isShuttingDown) {
        m_phaseTimer.stop();
        finish();
        return;
    }
    m_phaseTimer.start(deadline::after(boot_clock::now(), m_backoff.next(m_random)));
}

void peer_task::handlePhaseTimer()
{
    if (m_session != nullptr) {
        disconnect({error_code::deadline_exceeded,
                    m_isShuttingDown ? "open exchanges did not end within the drain time"
                                     : "connect and hello did not finish within the connect timeout"});
        return;
    }
    m_status.retry();
    connect();
}

void peer_task::publish(bool isUp)
{
    m_status.publish({m_target, isUp});
}

void peer_task::finishWhenIdle()
{
    if (m_isShuttingDown && m_isUp && m_exchanges.empty()) {
        m_closeCause = {error_code::cancelled, "shutdown"};
        m_disconnectTimer.start(deadline());
    }
}

} // namespace burdockshelf
