#include "policy/service_queues.h"

#include <algorithm>
#include <utility>

#include <glog/logging.h>

namespace burdockshelf
{

namespace
{

using namespace std::chrono_literals;

// How long a service pauses when no endpoint has a free slot. A slot that is released by this instance ends the pause at once.
constexpr auto noSlotPause = 10ms;

} // namespace

service_queues::service_queues(std::shared_ptr<const queue_order> order, std::size_t maxReservations)
    : m_order(std::move(order))
    , m_maxReservations(maxReservations)
{
}

bool service_queues::push(const service_id &service, queued_request request, instant now)
{
    markReady(service);
    return queueOf(service).waiting.push(std::move(request), now);
}

void service_queues::requeue(const service_id &service, queued_request request, instant now)
{
    markReady(service);
    service_queue &queue = queueOf(service);
    queue.pausedUntil = deadline::after(now, noSlotPause);
    queue.waiting.requeue(std::move(request));
}

void service_queues::remove(const service_id &service, const request_id &request)
{
    queueOf(service).waiting.remove(request);
}

void service_queues::noteDispatch(const service_id &service, const queued_request &request, instant now)
{
    queueOf(service).waiting.noteDispatch(request, now);
}

std::optional<queued_request> service_queues::beginReservation(const service_id &service, instant now)
{
    service_queue &queue = queueOf(service);
    if (queue.reservations >= m_maxReservations || !queue.pausedUntil.hasPassed(now)) {
        return std::nullopt;
    }
    std::optional<queued_request> next = queue.waiting.pop(now);
    queue.reservations += next ? 1 : 0;
    return next;
}

void service_queues::endReservation(const service_id &service)
{
    service_queue &queue = queueOf(service);
    CHECK_GT(queue.reservations, 0U) << "policy: a reservation was ended twice.";
    --queue.reservations;
}

void service_queues::markReady(const service_id &service)
{
    m_ready.insert(service);
}

void service_queues::resume(const service_id &service)
{
    queueOf(service).pausedUntil = deadline();
    markReady(service);
}

void service_queues::resumeAll()
{
    for (auto &[service, queue] : m_queues) {
        queue.pausedUntil = deadline();
        markReady(service);
    }
}

std::optional<service_id> service_queues::takeReady()
{
    if (m_ready.empty()) {
        return std::nullopt;
    }
    return m_ready.extract(m_ready.begin()).value();
}

std::vector<queued_request> service_queues::takeExpired(instant now)
{
    std::vector<queued_request> expired;
    for (auto &[service, queue] : m_queues) {
        std::vector<queued_request> taken = queue.waiting.takeExpired(now);
        std::move(taken.begin(), taken.end(), std::back_inserter(expired));
        markReady(service);
    }
    return expired;
}

deadline service_queues::nextDeadline(instant now) const
{
    deadline next = deadline::never();
    for (const auto &[service, queue] : m_queues) {
        if (queue.waiting.size() == 0) {
            continue;
        }
        next = std::min(next, queue.waiting.nextDeadline());
        if (!queue.pausedUntil.hasPassed(now)) {
            next = std::min(next, queue.pausedUntil);
        }
    }
    return next;
}

service_queues::service_queue &service_queues::queueOf(const service_id &service)
{
    return m_queues.try_emplace(service, service_queue {admission_queue(m_order), 0, deadline()}).first->second;
}

} // namespace burdockshelf
