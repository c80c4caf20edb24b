#pragma once

#include "gateway/rollout_writer.h"
#include "gateway/topic_follower.h"
#include "runtime/task.h"

#include <array>
#include <memory>
#include <vector>

namespace burdockshelf
{

/// Longest times between the store's acknowledgement of a change and its application at this instance.
struct store_latency_bounds
{
    /// For changes of the operator's configuration.
    std::chrono::milliseconds configuration {2000};
    /// For any change while a connection does not respond.
    std::chrono::milliseconds silence {3000};
    /// For an endpoint that drains or unregisters.
    std::chrono::milliseconds drain {2000};
};

/// Returns the follower settings that keep the bounds, in the order of store_topic.
std::array<topic_follower_settings, followedTopicCount> topicFollowerSettings(const store_latency_bounds &bounds);

struct store_settings
{
    socket_address address;
    instance_id instance;
    store_latency_bounds bounds;
};

/// Tasks to which store_task sends messages.
struct store_addresses
{
    address<dispatch_message> dispatcher;
    address<group_message> group;
    address<mesh_supervisor_message> mesh;
    address<version_message> versions;
    store_call_counter calls;
    sink<metric_batch> metrics;
};

/// Follows the topics of the platform's store that a gateway needs, and writes this instance's member report. Only a few instances, which
/// hold partitions of the quota pool, read the topics at the store; the other instances request the records from them.
class store_task : public task<store_message>
{
public:
    store_task(event_loop &loop,
               std::shared_ptr<mailbox<store_message>> box,
               store_settings settings,
               const store_dialect &dialect,
               store_addresses to,
               event_log log,
               random_source random);

    outcome<void> start() override;

private:
    void handle(store_message &&message) override;
    void apply(publish_member_report &&state);
    void apply(publish_crash_report &&report);
    void apply(const follow_rollouts &change);
    void apply(publish_rollout_record &&record);
    void apply(publish_rollout_status &&status);
    void apply(const members_changed &changed);
    void apply(const instance_count_changed &change);
    void apply(const holders_listed &listed);
    void apply(const peer_message_received &received);
    void apply(const peer_response &response);
    void writeCrashReport();
    /// Sends the latest crash report directly to the holders of the quota pool's partitions, to which every instance is connected.
    void sendCrashReport();
    /// Chooses the instances from which this one requests records.
    void chooseReader();
    void requestHolders();
    /// Publishes how old the topics are, and logs those that are overdue.
    void reviewTopicAges();
    era_verdict judgeStoreEra(std::optional<store_era> seen);
    era_verdict judgePeerEra(std::optional<store_era> seen);
    /// Passes a verdict on, after beginning a new reading of all topics if the era has risen.
    era_verdict actOnEra(era_verdict verdict, std::optional<store_era> before);
    void recordContact(bool isReachable);
    /// Returns whether the message was delivered to the dispatcher.
    bool post(dispatch_message message);

    store_settings m_settings;
    const store_dialect &m_dialect;
    store_addresses m_to;
    event_log m_log;
    random_source m_random;
    serial_http_client m_writer;
    serial_http_client m_crashReportWriter;
    timer m_crashReportTimer;
    /// The newest crash report that has not been written yet.
    std::optional<std::string> m_crashReport;
    /// The newest crash report that has not been sent yet.
    std::optional<std::string> m_unsentCrashReport;
    timer m_sendCrashReportTimer;
    rollout_writer m_rolloutWriter;
    bool m_isFollowingRollouts = false;
    /// When the dispatcher is next told that the store responds.
    deadline m_contactDue;
    store_gate m_gate;
    store_era_tracker m_era;
    topic_relay m_relay;
    topic_relay_client m_relayClient;
    std::vector<quota_partition_holder> m_holders;
    std::int64_t m_instanceCount = 1;
    std::int64_t m_holdersRequests = 0;
    timer m_holdersTimer;
    std::vector<std::unique_ptr<topic_follower>> m_followers;
    timer m_topicAgesTimer;
    bool m_isReachable = false;
};

} // namespace burdockshelf
