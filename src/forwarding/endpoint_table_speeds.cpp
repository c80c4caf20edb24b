// How long work takes at the endpoints.

#include "forwarding/endpoint_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdockshelf
{

namespace
{

constexpr double percentAsUsual = 100.0;
// Limits the size of an instance's report to the others.
constexpr std::size_t maxSharedSpeeds = 16;

} // namespace

void endpoint_table::noteSpeed(endpoint_state &endpoint, running_median service_speed::*usual, double seconds, instant now)
{
    const auto found = m_speeds.find(endpoint.entry.service);
    if (found == m_speeds.end() || !found->second.isReporting(now) || seconds <= 0.0) {
        return;
    }
    running_median &times = found->second.*usual;
    times.add(seconds);
    endpoint.speed.noteObserved(seconds / *times.value(), now);
    noteSeen(endpoint);
}

void endpoint_table::noteSeen(const endpoint_state &endpoint)
{
    if (const std::optional<double> factor = endpoint.speed.newestFactor()) {
        m_seenPercents[endpoint.entry.id] = std::lround(*factor * percentAsUsual);
    }
}

void endpoint_table::noteFirstEvent(const endpoint_id &endpoint, instant sentAt, instant now)
{
    if (endpoint_state *known = state(endpoint)) {
        noteSpeed(*known, &service_speed::firstEvent, std::chrono::duration<double>(now - sentAt).count(), now);
    }
}

void endpoint_table::notePeerSpeeds(const std::vector<seen_speed> &speeds, instant now)
{
    for (const seen_speed &seen : speeds) {
        if (endpoint_state *known = state(seen.endpoint)) {
            m_speeds[known->entry.service].figureSeenAt = now;
            known->speed.notePeer(static_cast<double>(seen.percent) / percentAsUsual, now);
        }
    }
}

std::vector<seen_speed> endpoint_table::takeSeenSpeeds()
{
    std::vector<seen_speed> taken;
    auto next = m_seenPercents.upper_bound(m_lastShared);
    while (!m_seenPercents.empty() && taken.size() < maxSharedSpeeds) {
        if (next == m_seenPercents.end()) {
            next = m_seenPercents.begin();
        }
        taken.push_back({next->first, next->second});
        next = m_seenPercents.erase(next);
    }
    if (!taken.empty()) {
        m_lastShared = taken.back().endpoint;
    }
    // The rest would be out of date by the next report.
    m_seenPercents.clear();
    return taken;
}

double endpoint_table::slowdown(const endpoint_id &endpoint, instant now) const
{
    const endpoint_state *known = find(endpoint);
    return known == nullptr ? 1.0 : known->speed.slowdown(now);
}

speed_counts endpoint_table::countBySpeed(instant now) const
{
    speed_counts counts;
    for (const auto &[id, known] : m_endpoints) {
        switch (known->speed.classify(now)) {
        case speed_class::usual:
            ++counts.usual;
            break;
        case speed_class::disturbed:
            ++counts.disturbed;
            break;
        case speed_class::slow:
            ++counts.slow;
            break;
        }
    }
    return counts;
}

std::int64_t endpoint_table::countSpilling() const
{
    return std::count_if(m_spillOvers.begin(), m_spillOvers.end(), [](const auto &known) { return known.second.isSpilling(); });
}

void endpoint_table::setTargets(const traffic_plan &plan)
{
    for (auto &[service, speed] : m_speeds) {
        speed.target = {};
    }
    for (const traffic_route &route : plan.routes) {
        for (const route_target &target : route.targets) {
            std::chrono::milliseconds &known = m_speeds[target.service].target;
            if (route.target.count() > 0 && (known.count() == 0 || route.target < known)) {
                known = route.target;
            }
        }
    }
}

} // namespace burdockshelf
