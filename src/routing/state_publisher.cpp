#include "routing/state_publisher.h"

#include <utility>

namespace burdockshelf
{

namespace
{

// Delay before delivery to a full mailbox is tried again.
constexpr std::chrono::milliseconds deliveryRetryDelay {20};

} // namespace

state_publisher::state_publisher(event_loop &loop,
                                 const log_replay &replay,
                                 std::vector<sink<view_changed>> viewReceivers,
                                 std::vector<sink<claims_changed>> claimReceivers,
                                 sink<replay_advanced> advanceReceiver)
    : m_replay(replay)
    , m_advanceReceiver(std::move(advanceReceiver))
    , m_retryTimer(loop, [this] { deliver(); })
{
    for (sink<view_changed> &receiver : viewReceivers) {
        m_views.push_back({std::move(receiver), false});
    }
    for (sink<claims_changed> &receiver : claimReceivers) {
        m_claims.push_back({std::move(receiver), {}, {}});
    }
}

void state_publisher::publish(const replay_result &result)
{
    if (result.hasViewChanged) {
        m_view = m_replay.view();
    }
    for (view_subscription &subscription : m_views) {
        subscription.isPending = subscription.isPending || result.hasViewChanged;
    }
    for (claims_subscription &subscription : m_claims) {
        subscription.changed.insert(result.changedClaims.begin(), result.changedClaims.end());
        subscription.expired.insert(result.expiredClaims.begin(), result.expiredClaims.end());
    }
    deliver();
}

void state_publisher::publishAll()
{
    replay_result everything;
    everything.hasViewChanged = true;
    for (const auto &[id, state] : m_replay.claims()) {
        everything.changedClaims.insert(id);
    }
    publish(everything);
}

// A read of the log counts for authority only once replay covers it, so the offset is sent even when nothing else has changed.
bool state_publisher::deliverAdvance()
{
    const log_offset covered = m_replay.covered();
    if (!m_advanceReceiver.isValid() || covered == m_publishedOffset) {
        return true;
    }
    const bool isDelivered = m_advanceReceiver.post({covered}) != post_result::full;
    m_publishedOffset = isDelivered ? covered : m_publishedOffset;
    return isDelivered;
}

void state_publisher::deliver()
{
    bool isDone = true;
    for (view_subscription &subscription : m_views) {
        isDone = deliverView(subscription) && isDone;
    }
    // Sent only after the views: the receiver of an offset takes its latest view for the state at that offset.
    isDone = isDone && deliverAdvance();
    for (claims_subscription &subscription : m_claims) {
        isDone = deliverClaims(subscription) && isDone;
    }
    if (!isDone) {
        m_retryTimer.start(deadline::after(boot_clock::now(), deliveryRetryDelay));
    }
}

bool state_publisher::deliverView(view_subscription &subscription)
{
    subscription.isPending = subscription.isPending && subscription.receiver.post({m_view}) == post_result::full;
    return !subscription.isPending;
}

// A claim that expired and was then won again, or the reverse, is sent in its current state.
bool state_publisher::deliverClaims(claims_subscription &subscription) const
{
    claims_changed message;
    for (const auto *ids : {&subscription.changed, &subscription.expired}) {
        for (const claim_id &id : *ids) {
            const auto found = m_replay.claims().find(id);
            if (found == m_replay.claims().end()) {
                message.expired.push_back(id);
            } else {
                message.states.push_back(found->second);
            }
        }
    }
    const bool isEmpty = message.states.empty() && message.expired.empty();
    if (!isEmpty && subscription.receiver.post(std::move(message)) == post_result::full) {
        return false;
    }
    subscription.changed.clear();
    subscription.expired.clear();
    return true;
}

} // namespace burdockshelf
