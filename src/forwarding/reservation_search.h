#pragma once

#include "forwarding/flow_messages.h"

#include <chrono>
#include <vector>

namespace burdockshelf
{

/// How a search asks from its next round on.
struct search_pace
{
    /// Endpoints asked in a round before the request pauses.
    std::size_t maxAsked = 3;
    /// Pause between two rounds.
    std::chrono::milliseconds interval {70};
    /// When the search ends.
    deadline until;
};

/// Schedules a request's reservation attempts: each round asks a few endpoints, with a pause between rounds, until the search's deadline.
class reservation_search
{
public:
    /// Starts a new search. Endpoints that the request was sent to before are not asked.
    void begin(const std::vector<endpoint_id> &tried, deadline until);
    void setPace(const search_pace &pace);
    /// Ends the search; no further round is due.
    void stop();
    void noteFull(const endpoint_id &endpoint);

    /// Endpoints that are not to be asked any more in this round.
    const std::vector<endpoint_id> &excluded() const;
    /// True while no endpoint has been asked in this round.
    bool isRoundEmpty() const;
    /// True when the most endpoints allowed per round have been asked.
    bool isRoundFull() const;

    /// Ends the round and returns the report for the log.
    report_failed_reservations endRound(token_count tokens, std::optional<search_facts> facts = std::nullopt);
    /// Schedules the next round; false when the search's deadline has passed.
    bool scheduleNextRound(instant now);
    /// Starts the next round when it is due; false when it is not. A scheduled round is due at once when capacity is offered.
    bool startDueRound(instant now, bool isCapacityOffered = false);
    /// When the next round is due; never when none is scheduled.
    deadline nextRoundAt() const;

private:
    std::vector<endpoint_id> m_tried;
    std::vector<endpoint_id> m_excluded;
    std::int64_t m_rounds = 0;
    deadline m_nextRoundAt = deadline::never();
    search_pace m_pace;
};

} // namespace burdockshelf
