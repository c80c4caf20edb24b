// The part of fleet_state that concerns orders to replace a version, and what is decided about them.

#include "gateway/fleet_state.h"

#include "gateway/rollout_codec.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

// An order that is read while the store responds was written this much earlier at most.
constexpr std::chrono::milliseconds readingMargin {300};

} // namespace

std::vector<instance_id> fleet_state::otherInstances(instant now) const
{
    std::vector<instance_id> others = m_members.instances(now);
    std::erase(others, m_self);
    return others;
}

void fleet_state::applyRolloutOrder(const rollout_order &order, const store_record &record, const record_arrival &arrival)
{
    // A long poll returns at once, so the order can only be older than the silence before it.
    const auto readingTime = std::min(arrival.storeSilence, m_maxOrderDelay) + readingMargin;
    const deadline completeBy = deadline::after(arrival.at, order.allowed - std::min(readingTime, order.allowed / 2));
    if (m_endpoints.rollouts().setOrder(order, rollout_number(record.offset.value()), completeBy, arrival.at)) {
        m_log.write(log_line("dispatch", "rollout_ordered")
                        .add("service", order.service)
                        .add("target", order.target)
                        .add("order", record.offset)
                        .add("left_ms", completeBy.remaining(arrival.at)));
    }
}

void fleet_state::clearRolloutOrder(const service_id &service)
{
    if (m_endpoints.rollouts().clearOrder(service)) {
        m_log.write(log_line("dispatch", "rollout_order_deleted").add("service", service));
    }
}

void fleet_state::clearUnlistedOrders(const std::vector<store_record> &listed)
{
    for (const service_id &service : m_endpoints.rollouts().orderedServices()) {
        const bool isListed = std::any_of(listed.begin(), listed.end(), [&](const store_record &record) {
            return record.value && m_records.rolloutOfKey(record.key) == service;
        });
        if (!isListed) {
            clearRolloutOrder(service);
        }
    }
}

void fleet_state::changeRollouts(const std::vector<store_record> &records, const record_arrival &arrival)
{
    for (const store_record &record : records) {
        if (const auto service = serviceOfDecisionKey(record.key)) {
            if (record.value) {
                applyRolloutDecision(*service, record, arrival.at);
            }
            continue;
        }
        // Its own record holds the counts that this instance has itself, or those of its process before the last start.
        const instance_id reporter(record.key);
        if (reporter == m_self) {
            continue;
        }
        auto reports =
            record.value ? decodeRolloutReports(*record.value) : outcome<std::vector<rollout_report>>(std::vector<rollout_report>());
        if (reports) {
            m_endpoints.rollouts().setReports(reporter, std::move(reports.value()), arrival.at);
        } else {
            logUnreadable(record, reports.error());
        }
    }
}

void fleet_state::applyRolloutDecision(const service_id &service, const store_record &record, instant now)
{
    const auto decided = decodeRolloutDecision(service, *record.value, now, unixTime());
    if (!decided) {
        logUnreadable(record, decided.error());
        return;
    }
    if (m_endpoints.rollouts().applyDecision(decided.value(), now)) {
        m_log.write(log_line("dispatch", "rollout_decision_applied")
                        .add("service", service)
                        .add("target", decided.value().target)
                        .add("state", rolloutStateName(decided.value().state))
                        .add("order", decided.value().order)
                        .add("generation", decided.value().generation));
    }
}

} // namespace burdockshelf
