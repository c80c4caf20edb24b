#include "routing/configuration_task.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

// Holds several seconds of a busy log; a peer that lacks more gets the whole state.
constexpr std::size_t maxRecentRecords = 1000;
// Peers repeat their state requests every 2 s, so a subscription expires only after several requests were lost.
constexpr std::chrono::seconds subscriptionDuration {10};
constexpr std::chrono::seconds snapshotRankDelay {2};
// Time for a written snapshot to be read back from the log before it is written again.
constexpr std::chrono::seconds snapshotRetryDelay {10};

} // namespace

configuration_task::configuration_task(event_loop &loop,
                                       std::shared_ptr<mailbox<configuration_task_message>> box,
                                       configuration_task_settings settings,
                                       configuration_task_sinks sinks,
                                       random_source random)
    : task(std::move(box))
    , m_settings(std::move(settings))
    , m_sinks(std::move(sinks))
    , m_random(random)
    , m_replay(m_settings.idempotencyWindow, m_settings.reallocationWindow)
    , m_recent(maxRecentRecords)
    , m_publisher(loop, m_replay, m_sinks.views, m_sinks.claims, m_sinks.advance)
    , m_snapshots(m_settings.retention)
    , m_reporter(loop, m_settings.reportInterval, [this] { return report(); })
    , m_stateRequestTimer(loop, [this] { requestState(); })
    , m_snapshotTimer(loop, [this] { writeSnapshot(); })
{
}

// Replays the log from the start: log_task may have read on while the previous run of this task was ending.
outcome<void> configuration_task::start()
{
    if (m_sinks.seek.post({log_offset(0)}) == post_result::full) {
        return failure(error_code::overloaded, "the mailbox of log_task is full");
    }
    return success();
}

void configuration_task::handle(configuration_task_message &&message)
{
    std::visit([this](const auto &content) { receive(content); }, message);
    if (m_replay.covered() != m_reported.covered) {
        m_reporter.noteChange();
    }
}

bool configuration_task::report()
{
    m_reported = {m_replay.version(), m_replay.covered()};
    return m_sinks.reports.post(m_reported) != post_result::full;
}

void configuration_task::receive(const log_batch &batch)
{
    m_isLogReadable = true;
    m_logFirst = batch.first;
    m_logHead = batch.head;
    applyRecords(batch.records);
    if (lacksState() && !m_stateRequestTimer.isArmed()) {
        requestState();
    }
    scheduleSnapshot();
}

void configuration_task::receive(const log_unreachable & /*outage*/)
{
    m_isLogReadable = false;
    m_snapshotTimer.stop();
    if (!m_stateRequestTimer.isArmed()) {
        requestState();
    }
}

void configuration_task::receive(const peer_message_received &received)
{
    if (received.reply.post(answerTo(received)) == post_result::full) {
        LOG(WARNING) << "routing: dropped the response to instance " << received.from.instance
                     << " because the mailbox of its connection is full.";
    }
}

void configuration_task::receive(const peer_response &response)
{
    if (response.answer.has_error()) {
        return;
    }
    if (const auto *state = std::get_if<peer_state_response>(&response.answer.value())) {
        loadState(state->state);
    } else if (const auto *records = std::get_if<record_relay>(&response.answer.value())) {
        applyRecords(records->records);
    }
}

void configuration_task::receive(const peer_status &status)
{
    std::erase(m_peers, status.who.instance);
    if (!status.isUp) {
        m_subscribers.erase(status.who.instance);
        return;
    }
    m_peers.push_back(status.who.instance);
    if (lacksState() && m_requestedPeerCount < m_settings.peersPerStateRequest) {
        requestStateFrom(status.who.instance);
    }
}

// A snapshot that was not stored is written again after snapshotRetryDelay; a stored one is read back from the log.
void configuration_task::receive(const append_result &result)
{
    if (result.result.has_error()) {
        LOG(WARNING) << "routing: could not append a snapshot to the log: " << result.result.error() << ".";
    }
}

void configuration_task::receive(const republish_request & /*request*/)
{
    m_publisher.publishAll();
}

void configuration_task::applyRecords(const std::vector<stored_record> &records)
{
    const replay_result result = m_replay.apply(records);
    const instant now = boot_clock::now();
    for (const stored_record &record : result.applied) {
        if (std::holds_alternative<snapshot>(record.record)) {
            m_snapshots.trackSnapshot(record.offset, now);
        }
    }
    m_recent.add(result.applied);
    m_publisher.publish(result);
    relay(result.applied);
}

void configuration_task::loadState(const snapshot &state)
{
    const log_offset before = m_replay.covered();
    const replay_result result = m_replay.load(state);
    if (m_replay.covered() == before) {
        return;
    }
    LOG(INFO) << "routing: loaded the state up to offset " << m_replay.covered() << " from a peer.";
    m_recent.clear();
    m_recent.add(result.applied);
    m_publisher.publish(result);
    if (!m_isLogReadable) {
        // Records that the state covers need not be read again. If the mailbox is full, they are read once more without effect.
        static_cast<void>(m_sinks.seek.post({m_replay.covered() + log_offset(1)}));
    }
}

peer_message configuration_task::answerTo(const peer_message_received &received)
{
    if (const auto *request = std::get_if<peer_state_request>(&received.message)) {
        return answerTo(received.from, *request);
    }
    if (const auto *records = std::get_if<record_relay>(&received.message)) {
        applyRecords(records->records);
        return acknowledgement {true};
    }
    return acknowledgement {false};
}

peer_message configuration_task::answerTo(const peer &from, const peer_state_request &request)
{
    m_subscribers[from.instance] = deadline::after(boot_clock::now(), subscriptionDuration);
    if (request.covered >= m_replay.covered()) {
        return acknowledgement {false};
    }
    if (auto records = m_recent.after(request.covered)) {
        return record_relay {std::move(*records)};
    }
    return peer_state_response {m_replay.state()};
}

void configuration_task::relay(const std::vector<stored_record> &records)
{
    const instant now = boot_clock::now();
    std::erase_if(m_subscribers, [now](const auto &entry) { return entry.second.hasPassed(now); });
    if (records.empty()) {
        return;
    }
    for (const auto &[instance, until] : m_subscribers) {
        send(instance, record_relay {records});
    }
}

// A message dropped by a full mailbox is not repeated; the next state request makes up for it.
void configuration_task::send(const instance_id &to, peer_message message)
{
    const deadline until = deadline::after(boot_clock::now(), m_settings.stateRequestInterval);
    peer_request call = {++m_lastExchange, std::move(message), until, makeSink<peer_response>(self())};
    static_cast<void>(m_sinks.peers.post({to, std::move(call)}));
}

bool configuration_task::lacksState() const
{
    return !m_isLogReadable || m_replay.hasGap() || m_replay.covered() + log_offset(1) < m_logFirst;
}

// Repeats until no state is missing. The peers are drawn at random each time, because some may be cut off from the log as well.
void configuration_task::requestState()
{
    if (!lacksState()) {
        return;
    }
    m_stateRequestTimer.start(deadline::after(boot_clock::now(), m_settings.stateRequestInterval));
    m_requestedPeerCount = 0;
    std::vector<instance_id> candidates = m_peers;
    while (m_requestedPeerCount < m_settings.peersPerStateRequest && !candidates.empty()) {
        const auto chosen = candidates.begin() + static_cast<std::ptrdiff_t>(m_random.below(candidates.size()));
        requestStateFrom(*chosen);
        candidates.erase(chosen);
    }
}

void configuration_task::requestStateFrom(const instance_id &to)
{
    ++m_requestedPeerCount;
    send(to, peer_state_request {m_replay.covered()});
}

void configuration_task::scheduleSnapshot()
{
    const instant now = boot_clock::now();
    const bool isAtHead = !lacksState() && m_replay.covered() + log_offset(1) == m_logHead && m_logHead > log_offset(0);
    if (!isAtHead || !m_snapshots.isDue(m_logFirst, m_logHead, now)) {
        m_snapshotTimer.stop();
    } else if (!m_snapshotTimer.isArmed()) {
        const std::size_t rank = snapshotWriterRank(*m_replay.view(), m_settings.self, m_snapshots.lastSnapshot());
        m_snapshotTimer.start(deadline::after(now, snapshotRankDelay * static_cast<int>(rank)));
    }
}

void configuration_task::writeSnapshot()
{
    const append_request request = {record_id(m_random.hexId()), m_replay.state(), makeSink<append_result>(self())};
    if (m_sinks.append.post(request) != post_result::delivered) {
        LOG(WARNING) << "routing: could not post a snapshot to log_task; retrying.";
    }
    m_snapshotTimer.start(deadline::after(boot_clock::now(), snapshotRetryDelay));
}

} // namespace burdockshelf
