#include "forwarding/survival_history.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

constexpr std::size_t maxParts = 4096;
constexpr std::chrono::seconds maxAge {120};

} // namespace

void survival_history::record(const prompt_part_id &part, instant outputBeganAt)
{
    const auto [entry, isNew] = m_lastSurvivals.emplace(part, outputBeganAt);
    entry->second = std::max(entry->second, outputBeganAt);
    if (isNew) {
        m_order.emplace_back(outputBeganAt, entry->first);
    }
    while (!m_order.empty() && (m_order.size() > maxParts || outputBeganAt - m_order.front().first > maxAge)) {
        dropOldest();
    }
}

std::optional<instant> survival_history::lastSurvival(const prompt_part_id &part) const
{
    const auto found = m_lastSurvivals.find(part);
    return found == m_lastSurvivals.end() ? std::nullopt : std::optional(found->second);
}

void survival_history::dropOldest()
{
    const auto [recordedAt, part] = std::move(m_order.front());
    m_order.pop_front();
    const auto known = m_lastSurvivals.find(part);
    if (known->second > recordedAt) {
        m_order.emplace_back(known->second, part);
        return;
    }
    m_lastSurvivals.erase(known);
}

} // namespace burdockshelf
