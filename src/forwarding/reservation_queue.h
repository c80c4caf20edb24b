#pragma once

#include "core/deadline.h"
#include "forwarding/flow_messages.h"

#include <map>
#include <optional>
#include <vector>

namespace burdockshelf
{

/// A request of this instance that waits for capacity.
struct waiting_request
{
    flow_id flow;
    priority_rank rank;
    workspace_id workspace;
    token_count tokens;
    /// Until then the request can still start within its route's target.
    deadline latestStart;
};

/// The requests of one service that wait for capacity at this instance. Those that can still start within their target go first, then the
/// order of their ranks, then the workspace that has got the least capacity of late, then the earliest latest start. Capacity that a
/// request of this instance frees is offered to the first waiting request of the first rank. It is not offered to later ranks, because
/// that would keep it from requests of the first rank at other instances.
class reservation_queue
{
public:
    void join(const waiting_request &request);
    /// The request has got capacity, which counts for its workspace, and leaves the queue.
    void noteGranted(flow_id flow, instant now);
    void leave(flow_id flow);

    /// Waiting requests that go before this one; 0 for one that does not wait.
    std::size_t aheadOf(flow_id flow, instant now) const;
    std::size_t size() const;
    /// Waiting requests of a rank.
    std::size_t sizeOf(priority_rank rank) const;

    /// Offers freed capacity to the first request of the first rank that has no offer. Returns that request; unset when none waits.
    std::optional<flow_id> offer(const endpoint_id &endpoint, instant now);
    bool hasOffer(flow_id flow) const;
    /// The endpoint that was offered to the request, which has to ask there at once.
    std::optional<endpoint_id> takeOffer(flow_id flow);

private:
    /// Tokens that were granted to a workspace, of which each loses weight exponentially.
    struct use
    {
        double tokens = 0.0;
        instant updatedAt;
    };

    bool goesBefore(const waiting_request &left, const waiting_request &right, instant now) const;
    double usedBy(const workspace_id &workspace, instant now) const;
    void removeOldUses(instant now);

    std::map<flow_id, waiting_request> m_waiting;
    std::map<flow_id, endpoint_id> m_offers;
    std::map<workspace_id, use> m_uses;
};

} // namespace burdockshelf
