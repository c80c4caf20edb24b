#include "forwarding/stage_balancer.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

// Orders may be carried out up to twelve seconds late, and a change takes six.
constexpr std::chrono::seconds pendingTime {20};
// Engines that are down for a moment must not set off a change, which costs their time twice.
constexpr std::chrono::seconds steadyTime {2};

struct pool_counts
{
    std::int64_t prefill = 0;
    std::int64_t decode = 0;
};

} // namespace

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
        // A pool that is a little small is left alone; one engine more of the other kind serves more than a change costs.
        const bool hasTooMany = counts.prefill > wanted;
        const bool hasTooFew = counts.prefill * 2 < wanted || (counts.prefill == 0 && total > 1);
        if (!hasTooMany && !hasTooFew) {
            m_offSince.erase(service);
            continue;
        }
        const instant since = m_offSince.try_emplace(service, now).first->second;
        if (now - since < steadyTime) {
            continue;
        }
        const engine_stage from = hasTooMany ? engine_stage::prefill : engine_stage::decode;
        const engine_stage to = hasTooMany ? engine_stage::decode : engine_stage::prefill;
        for (const engine_snapshot &endpoint : endpoints) {
            const bool isFree = endpoint.service == service && endpoint.isUsable && endpoint.stage == from;
            if (isFree && m_pending.count(endpoint.id) == 0) {
                return stage_change {endpoint, to};
            }
        }
    }
    return std::nullopt;
}

void stage_balancer::noteOrdered(const stage_change &change, instant now)
{
    m_pending[change.endpoint.id] = {change.to, deadline::after(now, pendingTime)};
}

} // namespace burdockshelf
