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
    /// Age at which the platform deletes log records.
    std::chrono::milliseconds retention {86'400'000};
    /// Interval between requests for state to peers while state is missing; also the timeout of every message to a peer.
    std::chrono::milliseconds stateRequestInterval {2000};
    /// Number of peers that get a request per interval; more would only send the same data.
    std::size_t peersPerStateRequest = 3;
    /// Minimum interval between two reports of the covered offset.
    std::chrono::milliseconds reportInterval {1000};
};

/// Sinks that configuration_task posts state changes, requests and reports to.
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

/// Owns the replay of the log. Takes records from the platform's log and, while that cannot be read, from peers; publishes state changes to
/// the other tasks; sends peers the records or the state that they lack; and writes a snapshot of the state to the log before the platform
/// deletes the records that it was built from.
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
    void receive(const peer_response &response);
    void receive(const peer_status &status);
    void receive(const append_result &result);
    void receive(const republish_request &request);

    void applyRecords(const std::vector<stored_record> &records);
    void loadState(const snapshot &state);
    peer_message answerTo(const peer_message_received &received);
    peer_message answerTo(const peer &from, const peer_state_request &request);
    void relay(const std::vector<stored_record> &records);
    void send(const instance_id &to, peer_message message);
    bool lacksState() const;
    void requestState();
    void requestStateFrom(const instance_id &to);
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
    timer m_stateRequestTimer;
    timer m_snapshotTimer;
    std::vector<instance_id> m_peers;
    // Peers that requested state recently, with the time until which new records are relayed to them.
    std::map<instance_id, deadline> m_subscribers;
    // First offset and head of the log at the last read.
    log_offset m_logFirst;
    log_offset m_logHead;
    bool m_isLogReadable = true;
    std::uint64_t m_lastExchange = 0;
    // Number of peers that were sent a state request since m_stateRequestTimer was last started.
    std::size_t m_requestedPeerCount = 0;
};

} // namespace burdockshelf
