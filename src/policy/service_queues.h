#pragma once

#include "core/ids.h"
#include "policy/admission_queue.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace burdockshelf
{

/// The queues of all services, and how many of each one's requests are asking for endpoints at once. A pure value: time is passed in.
class service_queues
{
public:
    /// The order may be null until the first request comes. The limit bounds the requests of one service that ask for endpoints at once.
    service_queues(std::shared_ptr<const queue_order> order, std::size_t mostReservations);

    /// Refuses with false when the request would, by the pace of late dispatches, not be dispatched by its deadline.
    bool push(const service_id &service, queued_request request, instant now);
    /// Puts a request back that found no endpoint, and lets its service wait a little, so that the same question is not asked again and
    /// again.
    void requeue(const service_id &service, queued_request request, instant now);
    void remove(const service_id &service, const request_id &request);
    void noteDispatch(const service_id &service, const queued_request &request, instant now);

    /// The next request of a service that may ask for endpoints. It counts as asking until endReservation().
    std::optional<queued_request> beginReservation(const service_id &service, instant now);
    void endReservation(const service_id &service);

    /// A service may be able to place a request again.
    void markReady(const service_id &service);
    /// Ends the pause of a service: an endpoint has room again.
    void resume(const service_id &service);
    /// Ends all pauses, because the endpoints have changed.
    void resumeAll();
    /// One of the services that are ready, which then no longer is.
    std::optional<service_id> takeReady();
    /// Requests whose deadline has passed. All services count as ready afterwards.
    std::vector<queued_request> takeExpired(instant now);
    /// When a request expires or a pause ends.
    deadline nextDeadline(instant now) const;

private:
    struct service_queue
    {
        admission_queue waiting;
        std::size_t reservations = 0;
        /// No endpoint had room: nothing is tried before this, unless one comes free.
        deadline pausedUntil;
    };

    service_queue &queueOf(const service_id &service);

    std::shared_ptr<const queue_order> m_order;
    std::size_t m_mostReservations;
    std::map<service_id, service_queue> m_queues;
    std::set<service_id> m_ready;
};

} // namespace burdockshelf
