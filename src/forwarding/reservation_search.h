#pragma once

#include "forwarding/flow_messages.h"

#include <vector>

namespace burdockshelf
{

/// A request's search for an endpoint that sets room aside: rounds in which a few endpoints are asked, with pauses between them, until its
/// time is over.
class reservation_search
{
public:
    /// Begins anew. Endpoints that the request was sent to before are not asked.
    void begin(const std::vector<endpoint_id> &tried, deadline until);
    void noteFull(const endpoint_id &endpoint);

    /// Endpoints that are not asked in this round.
    const std::vector<endpoint_id> &excluded() const;
    /// Nobody has been asked in this round.
    bool isRoundNew() const;
    /// As many were asked in this round as may be.
    bool isRoundFull() const;

    /// Ends the round, for the log.
    report_failed_reservations endRound(token_count tokens);
    /// Begins the next round after a pause. False when the time for the search is over.
    bool pause(instant now);
    /// True when the pause is over; the next round has begun then.
    bool takeDue(instant now);
    /// When the pause is over; never when there is none.
    deadline nextRoundAt() const;

private:
    std::vector<endpoint_id> m_tried;
    std::vector<endpoint_id> m_excluded;
    std::int64_t m_rounds = 0;
    deadline m_nextRoundAt = deadline::never();
    deadline m_until;
};

} // namespace burdockshelf
