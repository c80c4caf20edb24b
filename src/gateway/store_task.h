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
std::array<follow_settings, 3> followedTopics(const store_bounds &bounds);

struct store_settings
{
    socket_address address;
    instance_id instance;
    store_bounds bounds;
};

/// The one client of the platform's store: follows the topics that concern a gateway and writes this instance's own state.
class store_task : public task<store_message>
{
public:
    store_task(event_loop &loop,
               std::shared_ptr<mailbox<store_message>> box,
               store_settings settings,
               const store_dialect &dialect,
               address<dispatch_message> dispatcher,
               event_log log,
               random_source random);

    outcome<void> start() override;

private:
    void handle(store_message &&message) override;
    void apply(member_state &&state);
    void apply(const members_changed &changed);
    void noteContact(bool isReachable);
    void post(dispatch_message message);

    store_settings m_settings;
    const store_dialect &m_dialect;
    address<dispatch_message> m_dispatcher;
    event_log m_log;
    random_source m_random;
    timed_call m_writer;
    std::vector<std::unique_ptr<topic_follower>> m_followers;
    bool m_isReachable = false;
};

} // namespace burdockshelf
