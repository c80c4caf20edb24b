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

/// A request that waits for an endpoint.
struct queued_request
{
    request_id id;
    workspace_id workspace;
    /// Lower is more urgent.
    int priority = 0;
    token_count cost;
    instant queuedAt;
    /// The request is shed when it has not been dispatched by then.
    deadline until;
    /// Order of arrival; a request that comes back after a refused reservation keeps it.
    std::uint64_t sequence = 0;
};

/// Which of the waiting requests goes next.
class queue_order
{
public:
    virtual ~queue_order() = default;

    virtual std::string_view name() const = 0;
    /// True when left goes before right. The virtual times are those of the requests' workspaces.
    virtual bool
    isBefore(const queued_request &left, double leftTime, const queued_request &right, double rightTime, instant now) const = 0;
};

/// Baseline: first come, first served.
class arrival_order : public queue_order
{
public:
    std::string_view name() const override;
    bool isBefore(const queued_request &left, double leftTime, const queued_request &right, double rightTime, instant now) const override;
};

/// Urgent classes first, where a request that has used up half of its waiting time counts as one class more urgent; then the workspace that
/// has had the least service; then arrival.
class fair_order : public queue_order
{
public:
    std::string_view name() const override;
    bool isBefore(const queued_request &left, double leftTime, const queued_request &right, double rightTime, instant now) const override;
};

std::unique_ptr<queue_order> makeQueueOrder(std::string_view name);

/// The requests of one pool that wait for an endpoint. Fair between workspaces by virtual time: each dispatch adds the request's cost to
/// its workspace; a workspace that comes back after a pause starts at the present minimum, so that idle time earns nothing.
class admission_queue
{
public:
    explicit admission_queue(std::shared_ptr<const queue_order> order);

    /// Refuses with false when the request would, by the pace of late dispatches, not be dispatched by its deadline.
    bool push(queued_request request, instant now);
    /// Puts a request back that was popped and got no endpoint; it is not charged again.
    void requeue(queued_request request);
    std::optional<queued_request> pop(instant now);
    bool remove(const request_id &id);
    /// Removes and returns the requests whose deadline has passed.
    std::vector<queued_request> takeExpired(instant now);
    /// Notes that a request has left the queue for good with an endpoint; paces the early shedding.
    void noteDispatch(const queued_request &request, instant now);

    std::size_t size() const;
    deadline nextDeadline() const;

private:
    double virtualTime(const workspace_id &workspace) const;

    std::shared_ptr<const queue_order> m_order;
    std::list<queued_request> m_waiting;
    std::map<workspace_id, double> m_virtualTimes;
    double m_minimumTime = 0.0;
    std::uint64_t m_lastSequence = 0;
    // Empty when nothing waited after the last dispatch: the time until the next one says nothing of the pool's pace.
    std::optional<instant> m_lastDispatch;
    // Mean time between dispatches while requests wait.
    std::optional<double> m_intervalSeconds;
};

} // namespace burdockshelf
