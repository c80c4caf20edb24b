#pragma once

#include "gateway/topic_follower.h"
#include "runtime/task.h"

#include <array>
#include <memory>
#include <vector>

namespace burdockshelf
{

/// Times within which this instance must know what the store has acknowledged.
struct store_bounds
{
    /// A change of the operator.
    std::chrono::milliseconds configuration {2000};
    /// Anything, after a connection has gone silent.
    std::chrono::milliseconds silence {3000};
    /// That an endpoint leaves.
    std::chrono::milliseconds drain {2000};
};

/// How the topics are followed so that the bounds hold, in the order of store_topic.
std::array<topic_follower_settings, 3> topicFollowerSettings(const store_bounds &bounds);

struct store_settings
{
    socket_address address;
    instance_id instance;
    store_bounds bounds;
};

/// Where the store's news and the questions of other instances go.
struct store_addresses
{
    address<dispatch_message> dispatcher;
    address<group_message> group;
    address<mesh_supervisor_message> mesh;
};

/// Follows the topics of the platform's store that concern a gateway and writes this instance's own state. A few instances, holders of
/// parts of the quotas' pool, read the topics at the store; the others read there.
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
    void apply(const members_changed &changed);
    void apply(const instance_count_changed &change);
    void apply(const holders_listed &listed);
    void apply(const peer_message_received &received);
    void apply(const peer_response &answer);
    /// Chooses the instance that reads the topics for this one.
    void chooseReader();
    void requestHolders();
    void noteContact(bool isReachable);
    void post(dispatch_message message);

    store_settings m_settings;
    const store_dialect &m_dialect;
    store_addresses m_to;
    event_log m_log;
    random_source m_random;
    serial_http_client m_writer;
    topic_relay m_readers;
    topic_relay_client m_source;
    std::vector<quota_partition_holder> m_holders;
    std::int64_t m_instanceCount = 1;
    timer m_holdersTimer;
    std::vector<std::unique_ptr<topic_follower>> m_followers;
    bool m_isReachable = false;
};

} // namespace burdockshelf
