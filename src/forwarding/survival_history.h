#pragma once

#include "core/boot_clock.h"
#include "forwarding/prompt_parts.h"

#include <deque>
#include <map>
#include <optional>
#include <utility>

namespace burdockshelf
{

/// Remembers for each prompt part when an endpoint last began to generate output for a prompt with that part and stayed alive. Bounded: old
/// entries are dropped first.
class survival_history
{
public:
    void record(const prompt_part_id &part, instant outputBeganAt);
    /// When the output of the last survival began; nothing when that is unknown or longer ago
    /// than the history reaches.
    std::optional<instant> lastSurvival(const prompt_part_id &part) const;

private:
    void dropOldest();

    std::map<prompt_part_id, instant> m_lastSurvivals;
    /// Parts in the order in which they were recorded first, with the time of that record. A part that has survived since is moved to the
    /// end instead of being dropped.
    std::deque<std::pair<instant, prompt_part_id>> m_order;
};

} // namespace burdockshelf
