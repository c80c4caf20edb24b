#pragma once

#include "gateway/topic_follower.h"
#include "runtime/task.h"

#include <memory>
#include <vector>

namespace burdockshelf
{

struct store_settings
{
    socket_address address;
    instance_id instance;
    /// A change of the operator must be in force within this time of the store's acknowledgement.
    std::chrono::milliseconds configurationWithin {2000};
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
