#include "routing/state_publisher.h"

#include <utility>

namespace burdockshelf
{

namespace
{

// A receiver that is behind gets this long before it is tried again.
constexpr std::chrono::milliseconds deliveryRetry {20};

} // namespace

state_publisher::state_publisher(event_loop &loop,
                                 const log_replay &replay,
                                 std::vector<sink<view_changed>> viewReceivers,
                                 std::vector<sink<claims_changed>> claimReceivers,
                                 sink<replay_advanced> advanceReceiver)
    : m_replay(replay)
    , m_advanceReceiver(std::move(advanceReceiver))
    , m_retry(loop, [this] { deliver(); })
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
    for (view_debt &debt : m_views) {
        debt.isOwed = debt.isOwed || result.hasViewChanged;
    }
    for (claims_debt &debt : m_claims) {
        debt.changed.insert(result.changedClaims.begin(), result.changedClaims.end());
        debt.expired.insert(result.expiredClaims.begin(), result.expiredClaims.end());
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

// A read of the log counts for authority only once replay covers it, so the offset is told even when nothing else has changed.
bool state_publisher::deliverAdvance()
{
    const log_offset covered = m_replay.covered();
    if (!m_advanceReceiver.isValid() || covered == m_toldOffset) {
        return true;
    }
    const bool isTold = m_advanceReceiver.post({covered}) != post_result::full;
    m_toldOffset = isTold ? covered : m_toldOffset;
    return isTold;
}

void state_publisher::deliver()
{
    bool isDone = true;
    for (view_debt &debt : m_views) {
        isDone = deliverView(debt) && isDone;
    }
    // Only after the view: whoever is told the offset takes the view it has for the state at that offset.
    isDone = isDone && deliverAdvance();
    for (claims_debt &debt : m_claims) {
        isDone = deliverClaims(debt) && isDone;
    }
    if (!isDone) {
        m_retry.start(deadline::after(boot_clock::now(), deliveryRetry));
    }
}

bool state_publisher::deliverView(view_debt &debt)
{
    debt.isOwed = debt.isOwed && debt.receiver.post({m_view}) == post_result::full;
    return !debt.isOwed;
}

// A claim that expired and was won anew, or the reverse, is told as it is now.
bool state_publisher::deliverClaims(claims_debt &debt) const
{
    claims_changed message;
    for (const auto *ids : {&debt.changed, &debt.expired}) {
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
    if (!isEmpty && debt.receiver.post(std::move(message)) == post_result::full) {
        return false;
    }
    debt.changed.clear();
    debt.expired.clear();
    return true;
}

} // namespace burdockshelf
