#include "forwarding/stage_balancer.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

// An order may take effect up to 12 s late, and a change of stage takes 6 s.
constexpr std::chrono::seconds orderLifetime {20};
// An engine that is down for a moment must not cause a change of another one, which costs two changes in the end.
constexpr std::chrono::seconds imbalanceDelay {2};

struct pool_counts
{
    std::int64_t prefill = 0;
    std::int64_t decode = 0;
};

} // namespace

engine_snapshot snapshotOf(const endpoint_entry &entry, const endpoint_availability &availability)
{
    engine_snapshot snapshot;
    snapshot.id = entry.id;
    snapshot.service = entry.service;
    snapshot.address = entry.address;
    snapshot.stage = entry.stage.value_or(engine_stage::decode);
    snapshot.startTime = entry.startTime;
    snapshot.mayBeCalled = availability.mayReceive();
    // A pause is short, so a pausing engine still counts in its pool; else another engine would change its stage for it.
    snapshot.isUsable = snapshot.mayBeCalled || availability.condition == availability_condition::pausing
        || availability.condition == availability_condition::probing;
    return snapshot;
}

stage_balancer::stage_balancer(std::int64_t prefillPercent)
    : m_prefillPercent(prefillPercent)
{
}

std::optional<stage_change> stage_balancer::next(const std::vector<engine_snapshot> &endpoints, instant now)
{
    if (m_prefillPercent == 0) {
        return std::nullopt;
    }
    std::erase_if(m_pending, [&](const auto &entry) { return entry.second.until.hasPassed(now); });
    std::map<service_id, pool_counts> pools;
    for (const engine_snapshot &endpoint : endpoints) {
        const auto ordered = m_pending.find(endpoint.id);
        const engine_stage stage = ordered == m_pending.end() ? endpoint.stage : ordered->second.to;
        if (endpoint.isUsable) {
            ++(stage == engine_stage::prefill ? pools[endpoint.service].prefill : pools[endpoint.service].decode);
        }
    }
    for (const auto &[service, counts] : pools) {
        const std::int64_t total = counts.prefill + counts.decode;
        const std::int64_t wanted = std::max<std::int64_t>((total * m_prefillPercent + 50) / 100, 1);
        // A prefill pool that is slightly too small is left alone: one more decode engine serves more than the change would gain.
        const bool hasTooManyPrefill = counts.prefill > wanted;
        const bool hasTooFewPrefill = counts.prefill * 2 < wanted || (counts.prefill == 0 && total > 1);
        if (!hasTooManyPrefill && !hasTooFewPrefill) {
            m_unbalancedSince.erase(service);
            continue;
        }
        const instant since = m_unbalancedSince.try_emplace(service, now).first->second;
        if (now - since < imbalanceDelay) {
            continue;
        }
        const engine_stage from = hasTooManyPrefill ? engine_stage::prefill : engine_stage::decode;
        const engine_stage to = hasTooManyPrefill ? engine_stage::decode : engine_stage::prefill;
        for (const engine_snapshot &endpoint : endpoints) {
            const bool isCandidate = endpoint.service == service && endpoint.mayBeCalled && endpoint.stage == from;
            if (isCandidate && m_pending.count(endpoint.id) == 0) {
                return stage_change {endpoint, to};
            }
        }
    }
    return std::nullopt;
}

void stage_balancer::noteOrdered(const stage_change &change, instant now)
{
    m_pending[change.endpoint.id] = {change.to, deadline::after(now, orderLifetime)};
}

} // namespace burdockshelf
