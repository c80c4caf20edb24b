#include "routing/configuration_task.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

// Several seconds of a busy log; a peer that lacks more gets the whole state.
constexpr std::size_t recentLimit = 1000;
// Asks are repeated every two seconds, so a peer is dropped after some were lost.
constexpr std::chrono::seconds subscription {10};
constexpr std::chrono::seconds snapshotRankWait {2};
// Time to read a written snapshot back before it is written again.
constexpr std::chrono::seconds snapshotRetry {10};

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
    , m_recent(recentLimit)
    , m_publisher(loop, m_replay, m_sinks.views, m_sinks.claims, m_sinks.advance)
    , m_snapshots(m_settings.retention)
    , m_reporter(loop, m_settings.reportInterval, [this] { return report(); })
    , m_askTimer(loop, [this] { askPeers(); })
    , m_snapshotTimer(loop, [this] { writeSnapshot(); })
{
}

// The log may have been read on while an earlier run of this task was ending.
outcome<void> configuration_task::start()
{
    if (m_sinks.seek.post({log_offset(0)}) == post_result::full) {
        return failure(error_code::overloaded, "the log's reader is behind");
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
    m_first = batch.first;
    m_head = batch.head;
    takeRecords(batch.records);
    if (lacksState() && !m_askTimer.isArmed()) {
        askPeers();
    }
    scheduleSnapshot();
}

void configuration_task::receive(const log_unreachable & /*outage*/)
{
    m_isLogReadable = false;
    m_snapshotTimer.stop();
    if (!m_askTimer.isArmed()) {
        askPeers();
    }
}

void configuration_task::receive(const peer_message_received &received)
{
    if (received.reply.post(answerTo(received)) == post_result::full) {
        LOG(WARNING) << "routing: an answer to " << received.from.instance << " is lost, because its connection is behind.";
    }
}

void configuration_task::receive(const peer_response &answer)
{
    if (answer.answer.has_error()) {
        return;
    }
    if (const auto *state = std::get_if<peer_state_response>(&answer.answer.value())) {
        takeState(state->state);
    } else if (const auto *records = std::get_if<record_relay>(&answer.answer.value())) {
        takeRecords(records->records);
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
    if (lacksState() && m_asked < m_settings.askedPeers) {
        ask(status.who.instance);
    }
}

// A snapshot that was not stored is written again after snapshotRetry; one that was stored is read back.
void configuration_task::receive(const append_result &result)
{
    if (result.result.has_error()) {
        LOG(WARNING) << "routing: a snapshot record could not be written: " << result.result.error() << ".";
    }
}

void configuration_task::receive(const republish_request & /*request*/)
{
    m_publisher.publishAll();
}

void configuration_task::takeRecords(const std::vector<stored_record> &records)
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

void configuration_task::takeState(const snapshot &state)
{
    const log_offset before = m_replay.covered();
    const replay_result result = m_replay.load(state);
    if (m_replay.covered() == before) {
        return;
    }
    LOG(INFO) << "routing: took the state up to offset " << m_replay.covered() << " from a peer.";
    m_recent.clear();
    m_recent.add(result.applied);
    m_publisher.publish(result);
    if (!m_isLogReadable) {
        // What the state covers need not be read again. A full mailbox only costs the reads.
        static_cast<void>(m_sinks.seek.post({m_replay.covered() + log_offset(1)}));
    }
}

peer_message configuration_task::answerTo(const peer_message_received &received)
{
    if (const auto *ask = std::get_if<peer_state_request>(&received.message)) {
        return answerTo(received.from, *ask);
    }
    if (const auto *records = std::get_if<record_relay>(&received.message)) {
        takeRecords(records->records);
        return acknowledgement {true};
    }
    return acknowledgement {false};
}

peer_message configuration_task::answerTo(const peer &from, const peer_state_request &ask)
{
    m_subscribers[from.instance] = deadline::after(boot_clock::now(), subscription);
    if (ask.covered >= m_replay.covered()) {
        return acknowledgement {false};
    }
    if (auto records = m_recent.after(ask.covered)) {
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

// A message that a full mailbox loses is made up for by the receiver's next ask.
void configuration_task::send(const instance_id &to, peer_message message)
{
    const deadline until = deadline::after(boot_clock::now(), m_settings.askInterval);
    peer_request call = {++m_exchange, std::move(message), until, makeSink<peer_response>(self())};
    static_cast<void>(m_sinks.peers.post({to, std::move(call)}));
}

bool configuration_task::lacksState() const
{
    return !m_isLogReadable || m_replay.hasGap() || m_replay.covered() + log_offset(1) < m_first;
}

// Goes on while something is lacking. The peers asked change from time to time: some may be cut off as well.
void configuration_task::askPeers()
{
    if (!lacksState()) {
        return;
    }
    m_askTimer.start(deadline::after(boot_clock::now(), m_settings.askInterval));
    m_asked = 0;
    std::vector<instance_id> candidates = m_peers;
    while (m_asked < m_settings.askedPeers && !candidates.empty()) {
        const auto chosen = candidates.begin() + static_cast<std::ptrdiff_t>(m_random.below(candidates.size()));
        ask(*chosen);
        candidates.erase(chosen);
    }
}

void configuration_task::ask(const instance_id &asked)
{
    ++m_asked;
    send(asked, peer_state_request {m_replay.covered()});
}

void configuration_task::scheduleSnapshot()
{
    const instant now = boot_clock::now();
    const bool isAtHead = !lacksState() && m_replay.covered() + log_offset(1) == m_head && m_head > log_offset(0);
    if (!isAtHead || !m_snapshots.isDue(m_first, m_head, now)) {
        m_snapshotTimer.stop();
    } else if (!m_snapshotTimer.isArmed()) {
        const std::size_t rank = snapshotWriterRank(*m_replay.view(), m_settings.self, m_snapshots.lastSnapshot());
        m_snapshotTimer.start(deadline::after(now, snapshotRankWait * static_cast<int>(rank)));
    }
}

void configuration_task::writeSnapshot()
{
    const append_request request = {record_id(m_random.hexId()), m_replay.state(), makeSink<append_result>(self())};
    if (m_sinks.append.post(request) != post_result::delivered) {
        LOG(WARNING) << "routing: a snapshot record could not be handed to the log's writer.";
    }
    m_snapshotTimer.start(deadline::after(boot_clock::now(), snapshotRetry));
}

} // namespace burdockshelf
