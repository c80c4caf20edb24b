#pragma once

#include "core/random_source.h"
#include "routing/recent_records.h"
#include "routing/routing_messages.h"
#include "routing/state_publisher.h"
#include "routing/status_messages.h"
#include "routing/status_reporter.h"
#include "runtime/task.h"
#include "runtime/timer.h"
#include "state/log_replay.h"
#include "state/snapshot_schedule.h"

#include <chrono>
#include <map>
#include <vector>

namespace burdockshelf
{

struct configuration_task_settings
{
    roster_member self;
    std::chrono::milliseconds idempotencyWindow {86'400'000};
    std::chrono::milliseconds reallocationWindow = std::chrono::hours(4);
    /// Age at which the platform drops records.
    std::chrono::milliseconds retention {86'400'000};
    /// Time between two asks of peers while the log cannot be read, and the longest wait for their answers.
    std::chrono::milliseconds askInterval {2000};
    /// Peers asked at a time; more would only send the same.
    std::size_t askedPeers = 3;
    /// Shortest time between two reports of the covered offset.
    std::chrono::milliseconds reportInterval {1000};
};

/// Who hears of the state, and what configuration_task itself needs.
struct configuration_task_sinks
{
    std::vector<sink<view_changed>> views;
    std::vector<sink<claims_changed>> claims;
    sink<replay_advanced> advance;
    sink<append_request> append;
    sink<seek_request> seek;
    sink<peer_envelope> peers;
    sink<configuration_report> reports;
};

/// Owns the replay of the log. Takes records from the log and, while that cannot be read, from peers; tells the other tasks what has
/// changed; gives peers what they lack; and writes the state to the log again before the platform drops the records that led to it.
class configuration_task : public task<configuration_task_message>
{
public:
    configuration_task(event_loop &loop,
                       std::shared_ptr<mailbox<configuration_task_message>> box,
                       configuration_task_settings settings,
                       configuration_task_sinks sinks,
                       random_source random);

    outcome<void> start() override;

protected:
    void handle(configuration_task_message &&message) override;

private:
    void receive(const log_batch &batch);
    void receive(const log_unreachable &outage);
    void receive(const peer_message_received &received);
    void receive(const peer_response &answer);
    void receive(const peer_status &status);
    void receive(const append_result &result);
    void receive(const republish_request &request);

    void takeRecords(const std::vector<stored_record> &records);
    void takeState(const snapshot &state);
    peer_message answerTo(const peer_message_received &received);
    peer_message answerTo(const peer &from, const peer_state_request &ask);
    void relay(const std::vector<stored_record> &records);
    void send(const instance_id &to, peer_message message);
    bool lacksState() const;
    void askPeers();
    void ask(const instance_id &asked);
    bool report();
    void scheduleSnapshot();
    void writeSnapshot();

    configuration_task_settings m_settings;
    configuration_task_sinks m_sinks;
    random_source m_random;
    log_replay m_replay;
    recent_records m_recent;
    state_publisher m_publisher;
    snapshot_schedule m_snapshots;
    configuration_report m_reported;
    status_reporter m_reporter;
    timer m_askTimer;
    timer m_snapshotTimer;
    std::vector<instance_id> m_peers;
    // Peers that have asked of late, and until when new records are relayed to them.
    std::map<instance_id, deadline> m_subscribers;
    // Bounds of the log as of the last read.
    log_offset m_first;
    log_offset m_head;
    bool m_isLogReadable = true;
    std::uint64_t m_exchange = 0;
    // Peers asked since the ask timer was last started.
    std::size_t m_asked = 0;
};

} // namespace burdockshelf
