#include "policy/admission_queue.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace burdockshelf
{

namespace
{

constexpr double dispatchIntervalWeight = 0.1;
// The estimated wait is imprecise. A request is shed early only if the estimate exceeds its remaining time by this factor.
constexpr double earlySheddingFactor = 1.5;
// The dispatch rate is known only after some dispatches, and requests are never shed early from a queue shorter than this.
constexpr std::size_t minQueueForEarlyShedding = 8;
constexpr std::size_t maxTrackedWorkspaces = 16384;

int effectivePriority(const queued_request &request, instant now)
{
    const auto allowed = request.until.at() - request.queuedAt;
    const bool isAged = (now - request.queuedAt) * 2 >= allowed;
    return request.priority - (isAged ? 1 : 0);
}

} // namespace

std::string_view arrival_order::name() const
{
    return "arrival";
}

bool arrival_order::isBefore(
    const queued_request &left, double /*leftVirtualTime*/, const queued_request &right, double /*rightVirtualTime*/, instant /*now*/) const
{
    return left.sequence < right.sequence;
}

std::string_view fair_order::name() const
{
    return "fair";
}

bool fair_order::isBefore(
    const queued_request &left, double leftVirtualTime, const queued_request &right, double rightVirtualTime, instant now) const
{
    return std::tuple(effectivePriority(left, now), leftVirtualTime, left.sequence)
        < std::tuple(effectivePriority(right, now), rightVirtualTime, right.sequence);
}

std::unique_ptr<queue_order> makeQueueOrder(std::string_view name)
{
    if (name == "arrival") {
        return std::make_unique<arrival_order>();
    }
    if (name == "fair") {
        return std::make_unique<fair_order>();
    }
    return nullptr;
}

admission_queue::admission_queue(std::shared_ptr<const queue_order> order)
    : m_order(std::move(order))
{
}

bool admission_queue::push(queued_request request, instant now)
{
    if (m_meanDispatchIntervalSeconds && m_waiting.size() >= minQueueForEarlyShedding) {
        const auto ahead = std::count_if(
            m_waiting.begin(), m_waiting.end(), [&](const queued_request &other) { return other.priority <= request.priority; });
        const double wait = static_cast<double>(ahead) * *m_meanDispatchIntervalSeconds;
        const double allowed = std::chrono::duration<double>(request.until.remaining(now)).count();
        if (wait > allowed * earlySheddingFactor) {
            return false;
        }
    }
    request.sequence = ++m_lastSequence;
    m_waiting.push_back(std::move(request));
    return true;
}

void admission_queue::requeue(queued_request request)
{
    m_waiting.push_front(std::move(request));
}

std::optional<queued_request> admission_queue::pop(instant now)
{
    if (m_waiting.empty()) {
        return std::nullopt;
    }
    const auto next = std::min_element(m_waiting.begin(), m_waiting.end(), [&](const queued_request &left, const queued_request &right) {
        return m_order->isBefore(left, virtualTime(left.workspace), right, virtualTime(right.workspace), now);
    });
    queued_request request = std::move(*next);
    m_waiting.erase(next);
    return request;
}

bool admission_queue::remove(const request_id &id)
{
    return std::erase_if(m_waiting, [&](const queued_request &request) { return request.id == id; }) > 0;
}

std::vector<queued_request> admission_queue::takeExpired(instant now)
{
    std::vector<queued_request> expired;
    std::erase_if(m_waiting, [&](queued_request &request) {
        if (!request.until.hasPassed(now)) {
            return false;
        }
        expired.push_back(std::move(request));
        return true;
    });
    return expired;
}

void admission_queue::noteDispatch(const queued_request &request, instant now)
{
    const double start = virtualTime(request.workspace);
    m_minVirtualTime = std::max(m_minVirtualTime, start);
    m_virtualTimes[request.workspace] = start + static_cast<double>(request.cost.value());
    if (m_virtualTimes.size() > maxTrackedWorkspaces) {
        std::erase_if(m_virtualTimes, [this](const auto &entry) { return entry.second <= m_minVirtualTime; });
    }
    if (m_lastDispatch && !m_waiting.empty()) {
        const double interval = std::chrono::duration<double>(now - *m_lastDispatch).count();
        m_meanDispatchIntervalSeconds = m_meanDispatchIntervalSeconds
            ? *m_meanDispatchIntervalSeconds + dispatchIntervalWeight * (interval - *m_meanDispatchIntervalSeconds)
            : interval;
    }
    m_lastDispatch = m_waiting.empty() ? std::nullopt : std::optional(now);
}

std::size_t admission_queue::size() const
{
    return m_waiting.size();
}

deadline admission_queue::nextDeadline() const
{
    deadline next = deadline::never();
    for (const queued_request &request : m_waiting) {
        next = std::min(next, request.until);
    }
    return next;
}

double admission_queue::virtualTime(const workspace_id &workspace) const
{
    const auto found = m_virtualTimes.find(workspace);
    return found == m_virtualTimes.end() ? m_minVirtualTime : std::max(found->second, m_minVirtualTime);
}

} // namespace burdockshelf
