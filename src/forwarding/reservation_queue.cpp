#include "forwarding/reservation_queue.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace burdockshelf
{

namespace
{

// Capacity that a workspace got earlier does not count against it, so that an unused share is neither saved up nor lost.
constexpr std::chrono::duration<double> useLifetime {5.0};
constexpr double negligibleTokens = 1.0;
// Bounds the memory for workspaces that have come and gone.
constexpr std::size_t maxUses = 1024;

} // namespace

void reservation_queue::join(const waiting_request &request)
{
    m_waiting[request.flow] = request;
}

void reservation_queue::noteGranted(flow_id flow, instant now)
{
    const auto found = m_waiting.find(flow);
    if (found == m_waiting.end()) {
        return;
    }
    if (m_uses.size() >= maxUses) {
        removeOldUses(now);
    }
    const waiting_request &served = found->second;
    const double tokens = usedBy(served.workspace, now) + static_cast<double>(served.tokens.value());
    m_uses[served.workspace] = {tokens, now};
    leave(flow);
}

void reservation_queue::leave(flow_id flow)
{
    m_waiting.erase(flow);
    m_offers.erase(flow);
}

std::size_t reservation_queue::aheadOf(flow_id flow, instant now) const
{
    const auto found = m_waiting.find(flow);
    if (found == m_waiting.end()) {
        return 0;
    }
    const auto ahead =
        std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto &other) { return goesBefore(other.second, found->second, now); });
    return static_cast<std::size_t>(ahead);
}

std::size_t reservation_queue::size() const
{
    return m_waiting.size();
}

std::size_t reservation_queue::sizeOf(priority_rank rank) const
{
    const auto count = std::count_if(m_waiting.begin(), m_waiting.end(), [&](const auto &waiting) { return waiting.second.rank == rank; });
    return static_cast<std::size_t>(count);
}

std::optional<flow_id> reservation_queue::offer(const endpoint_id &endpoint, instant now)
{
    const waiting_request *first = nullptr;
    for (const auto &[flow, waiting] : m_waiting) {
        if (waiting.rank == priority_rank(0) && !hasOffer(flow) && (first == nullptr || goesBefore(waiting, *first, now))) {
            first = &waiting;
        }
    }
    if (first == nullptr) {
        return std::nullopt;
    }
    m_offers[first->flow] = endpoint;
    return first->flow;
}

bool reservation_queue::hasOffer(flow_id flow) const
{
    return m_offers.contains(flow);
}

std::optional<endpoint_id> reservation_queue::takeOffer(flow_id flow)
{
    auto taken = m_offers.extract(flow);
    return taken.empty() ? std::nullopt : std::optional<endpoint_id>(std::move(taken.mapped()));
}

bool reservation_queue::goesBefore(const waiting_request &left, const waiting_request &right, instant now) const
{
    const auto keyOf = [&](const waiting_request &request) {
        return std::tuple(
            request.latestStart.hasPassed(now), request.rank, usedBy(request.workspace, now), request.latestStart, request.flow);
    };
    return keyOf(left) < keyOf(right);
}

double reservation_queue::usedBy(const workspace_id &workspace, instant now) const
{
    const auto found = m_uses.find(workspace);
    if (found == m_uses.end()) {
        return 0.0;
    }
    const std::chrono::duration<double> age = now - found->second.updatedAt;
    return found->second.tokens * std::exp(-age / useLifetime);
}

void reservation_queue::removeOldUses(instant now)
{
    std::erase_if(m_uses, [&](const auto &known) { return usedBy(known.first, now) < negligibleTokens; });
}

} // namespace burdockshelf
