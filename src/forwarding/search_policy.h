#pragma once

#include "forwarding/flow_messages.h"
#include "forwarding/reservation_search.h"
#include "forwarding/room_monitor.h"

#include <optional>

namespace burdockshelf
{

/// What the next round of a search is decided by.
struct search_situation
{
    /// When the search has begun.
    instant begun;
    /// When the search last asked an endpoint; the time of its begin before the first one.
    instant lastAsked;
    std::chrono::milliseconds target {};
    /// Until then the request can still start within its route's target.
    deadline latestStart;
    /// Later the request should not be kept waiting.
    deadline searchLimit;
    /// Waiting requests of this instance that go first.
    std::size_t ahead = 0;
    capacity_outlook outlook;
};

/// The next round of a search.
struct search_step
{
    search_pace pace;
    std::chrono::milliseconds expectedWait {};
    /// No capacity is expected in time, so that the request is better refused now than later.
    bool isRefused = false;
};

/// How many endpoints a request asks for capacity in a round, how often, and until when. The objects have no state.
class search_policy
{
public:
    search_policy() = default;
    search_policy(const search_policy &) = delete;
    search_policy &operator=(const search_policy &) = delete;
    virtual ~search_policy() = default;

    virtual search_step nextRound(const search_situation &situation, instant now) const = 0;
};

/// The policy of a rank; without one, that of services whose requests all have the same priority.
const search_policy &searchPolicyFor(std::optional<priority_rank> rank);

} // namespace burdockshelf
