#pragma once

#include "core/deadline.h"
#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// A request waiting for an endpoint.
struct queued_request
{
    request_id id;
    workspace_id workspace;
    /// A lower value is more urgent.
    int priority = 0;
    token_count cost;
    instant queuedAt;
    /// The request is shed if it has not been dispatched by this deadline.
    deadline until;
    /// Arrival order. A request that is requeued after a refused reservation keeps its number.
    std::uint64_t sequence = 0;
};

/// Decides which of the queued requests is dispatched next.
class queue_order
{
public:
    virtual ~queue_order() = default;

    virtual std::string_view name() const = 0;
    /// True if left is dispatched before right. The virtual times are those of the requests' workspaces.
    virtual bool isBefore(
        const queued_request &left, double leftVirtualTime, const queued_request &right, double rightVirtualTime, instant now) const = 0;
};

/// Baseline strategy: first come, first served.
class arrival_order : public queue_order
{
public:
    std::string_view name() const override;
    bool isBefore(const queued_request &left,
                  double leftVirtualTime,
                  const queued_request &right,
                  double rightVirtualTime,
                  instant now) const override;
};

/// Orders by priority, then by the virtual time of the workspace (least service first), then by arrival. A request that has used up half of
/// its queue time counts as one class more urgent.
class fair_order : public queue_order
{
public:
    std::string_view name() const override;
    bool isBefore(const queued_request &left,
                  double leftVirtualTime,
                  const queued_request &right,
                  double rightVirtualTime,
                  instant now) const override;
};

std::unique_ptr<queue_order> makeQueueOrder(std::string_view name);

/// The queue of the requests of one service that wait for an endpoint. Fair between workspaces by virtual time: each dispatch adds the
/// request's cost to the virtual time of its workspace. A workspace that returns after a pause starts at the current minimum, so it gains
/// no credit for idle time.
class admission_queue
{
public:
    explicit admission_queue(std::shared_ptr<const queue_order> order);

    /// Returns false, without queueing the request, if the recent dispatch rate shows that it would clearly miss its deadline.
    bool push(queued_request request, instant now);
    /// Returns a popped request that got no endpoint to the queue. Its cost is not counted for its workspace until it is dispatched.
    void requeue(queued_request request);
    std::optional<queued_request> pop(instant now);
    bool remove(const request_id &id);
    /// Removes and returns the requests whose deadline has passed.
    std::vector<queued_request> takeExpired(instant now);
    /// Records that a popped request has got an endpoint and left the queue for good. The time between dispatches is the basis of early
    /// shedding.
    void noteDispatch(const queued_request &request, instant now);

    std::size_t size() const;
    deadline nextDeadline() const;

private:
    double virtualTime(const workspace_id &workspace) const;

    std::shared_ptr<const queue_order> m_order;
    std::list<queued_request> m_waiting;
    std::map<workspace_id, double> m_virtualTimes;
    double m_minVirtualTime = 0.0;
    std::uint64_t m_lastSequence = 0;
    // Empty if the queue was empty after the last dispatch: the time until the next dispatch then says nothing about the dispatch rate.
    std::optional<instant> m_lastDispatch;
    // Moving average of the time between dispatches while requests wait.
    std::optional<double> m_meanDispatchIntervalSeconds;
};

} // namespace burdockshelf
