#pragma once

#include "routing/routing_messages.h"
#include "runtime/timer.h"
#include "state/log_replay.h"

#include <set>
#include <vector>

namespace burdockshelf
{

/// Publishes the changes made by replay to the other routing tasks. Changes for a receiver whose mailbox is full are collected and
/// delivered in one message once it accepts messages again. Owned by configuration_task.
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
    struct view_subscription
    {
        sink<view_changed> receiver;
        bool isPending = false;
    };

    struct claims_subscription
    {
        sink<claims_changed> receiver;
        std::set<claim_id> changed;
        std::set<claim_id> expired;
    };

    void deliver();
    bool deliverView(view_subscription &subscription);
    bool deliverClaims(claims_subscription &subscription) const;
    bool deliverAdvance();

    const log_replay &m_replay;
    std::vector<view_subscription> m_views;
    std::vector<claims_subscription> m_claims;
    sink<replay_advanced> m_advanceReceiver;
    log_offset m_publishedOffset {-1};
    state_view_ptr m_view;
    timer m_retryTimer;
};

} // namespace burdockshelf
