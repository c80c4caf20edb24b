#include "forwarding/stream_origins.h"

#include <algorithm>

namespace burdockshelf
{

void stream_origins::begin(const attempt_id &attempt, const stream_origin &origin, deadline callerDeadline, instant now)
{
    if (attempt.isEmpty() || attempt.value().size() > maxIdBytes || find(attempt, now)) {
        return;
    }
    end(attempt);
    if (m_streams.size() >= maxStreams) {
        remove(m_streams.find(m_bySequence.begin()->second));
    }
    ++m_lastSequence;
    ++m_changeCount;
    m_streams.emplace(attempt, entry {origin, std::min(callerDeadline, deadline::after(now, maxAge)), m_lastSequence});
    m_bySequence.emplace(m_lastSequence, attempt);
}

void stream_origins::end(const attempt_id &attempt)
{
    const auto found = m_streams.find(attempt);
    if (found != m_streams.end()) {
        ++m_changeCount;
        remove(found);
    }
}

std::optional<stream_origin> stream_origins::find(const attempt_id &attempt, instant now) const
{
    const auto found = m_streams.find(attempt);
    if (found == m_streams.end() || found->second.until.hasPassed(now)) {
        return std::nullopt;
    }
    return found->second.origin;
}

std::vector<open_stream> stream_origins::newest(std::size_t most, instant now) const
{
    std::vector<open_stream> streams;
    for (auto at = m_bySequence.rbegin(); at != m_bySequence.rend() && streams.size() < most; ++at) {
        const entry &known = m_streams.at(at->second);
        if (!known.until.hasPassed(now)) {
            streams.push_back({at->second, known.origin});
        }
    }
    return streams;
}

void stream_origins::removeExpired(instant now)
{
    for (auto at = m_streams.begin(); at != m_streams.end();) {
        const auto next = std::next(at);
        if (at->second.until.hasPassed(now)) {
            remove(at);
        }
        at = next;
    }
}

std::uint64_t stream_origins::changeCount() const
{
    return m_changeCount;
}

void stream_origins::remove(std::map<attempt_id, entry>::iterator found)
{
    m_bySequence.erase(found->second.sequence);
    m_streams.erase(found);
}

} // namespace burdockshelf
