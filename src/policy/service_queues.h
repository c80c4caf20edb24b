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

/// The admission queues of all services, and the number of requests of each that are reserving endpoints at the same time. Uses no clock:
/// the time is passed in.
class service_queues
{
public:
    /// The order may be null until the first request is pushed. The limit applies to the requests of one service that reserve endpoints at
    /// the same time.
    service_queues(std::shared_ptr<const queue_order> order, std::size_t maxReservations);

    /// Returns false, without queueing the request, if the recent dispatch rate shows that it would clearly miss its deadline.
    bool push(const service_id &service, queued_request request, instant now);
    /// Returns a request that found no endpoint to the queue and pauses its service briefly, so that the same slot requests are not
    /// repeated at once.
    void requeue(const service_id &service, queued_request request, instant now);
    void remove(const service_id &service, const request_id &request);
    void noteDispatch(const service_id &service, const queued_request &request, instant now);

    /// The next request of a service that may reserve endpoints. It counts as reserving until endReservation().
    std::optional<queued_request> beginReservation(const service_id &service, instant now);
    void endReservation(const service_id &service);

    /// Marks a service as possibly able to place a request.
    void markReady(const service_id &service);
    /// Ends the pause of a service because an endpoint has a free slot again.
    void resume(const service_id &service);
    /// Ends all pauses because the endpoints have changed.
    void resumeAll();
    /// Returns one of the services that are marked as ready and clears its mark.
    std::optional<service_id> takeReady();
    /// Removes and returns the requests whose deadline has passed. Marks all services as ready.
    std::vector<queued_request> takeExpired(instant now);
    /// The next time at which a request expires or a pause ends.
    deadline nextDeadline(instant now) const;

private:
    struct service_queue
    {
        admission_queue waiting;
        std::size_t reservations = 0;
        /// No endpoint had a free slot: no reservation is begun before this deadline, unless a slot becomes free.
        deadline pausedUntil;
    };

    service_queue &queueOf(const service_id &service);

    std::shared_ptr<const queue_order> m_order;
    std::size_t m_maxReservations;
    std::map<service_id, service_queue> m_queues;
    std::set<service_id> m_ready;
};

} // namespace burdockshelf
