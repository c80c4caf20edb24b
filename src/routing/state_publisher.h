#pragma once

#include "routing/routing_messages.h"
#include "runtime/timer.h"
#include "state/log_replay.h"

#include <set>
#include <vector>

namespace burdockshelf
{

/// Tells the other tasks of routing what replay has changed. A receiver that is behind is owed the changes and gets them, in one message,
/// once it takes messages again. Belongs to configuration_task.
class state_publisher
{
public:
    state_publisher(event_loop &loop,
                    const log_replay &replay,
                    std::vector<sink<view_changed>> viewReceivers,
                    std::vector<sink<claims_changed>> claimReceivers,
                    sink<replay_advanced> advanceReceiver);

    void publish(const replay_result &result);
    void publishAll();

private:
    struct view_debt
    {
        sink<view_changed> receiver;
        bool isOwed = false;
    };

    struct claims_debt
    {
        sink<claims_changed> receiver;
        std::set<claim_id> changed;
        std::set<claim_id> expired;
    };

    void deliver();
    bool deliverView(view_debt &debt);
    bool deliverClaims(claims_debt &debt) const;
    bool deliverAdvance();

    const log_replay &m_replay;
    std::vector<view_debt> m_views;
    std::vector<claims_debt> m_claims;
    sink<replay_advanced> m_advanceReceiver;
    log_offset m_toldOffset {-1};
    state_view_ptr m_view;
    timer m_retry;
};

} // namespace burdockshelf
