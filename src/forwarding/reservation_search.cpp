#include "forwarding/reservation_search.h"

namespace burdockshelf
{

namespace
{

// Endpoints asked for a reservation before the request pauses.
constexpr std::size_t maxAskedPerRound = 3;
constexpr std::chrono::milliseconds roundInterval {70};

} // namespace

void reservation_search::begin(const std::vector<endpoint_id> &tried, deadline until)
{
    m_tried = tried;
    m_excluded = tried;
    m_deadline = until;
    m_nextRoundAt = deadline::never();
}

void reservation_search::stop()
{
    m_nextRoundAt = deadline::never();
}

void reservation_search::noteFull(const endpoint_id &endpoint)
{
    m_excluded.push_back(endpoint);
}

const std::vector<endpoint_id> &reservation_search::excluded() const
{
    return m_excluded;
}

bool reservation_search::isRoundEmpty() const
{
    return m_excluded.size() == m_tried.size();
}

bool reservation_search::isRoundFull() const
{
    return m_excluded.size() >= m_tried.size() + maxAskedPerRound;
}

report_failed_reservations reservation_search::endRound(token_count tokens)
{
    const auto asked = m_excluded.begin() + static_cast<std::ptrdiff_t>(m_tried.size());
    return {++m_rounds, tokens, {asked, m_excluded.end()}, m_deadline};
}

bool reservation_search::scheduleNextRound(instant now)
{
    if (m_deadline.hasPassed(now)) {
        return false;
    }
    m_nextRoundAt = deadline::after(now, roundInterval);
    return true;
}

bool reservation_search::startDueRound(instant now)
{
    if (!m_nextRoundAt.hasPassed(now)) {
        return false;
    }
    m_nextRoundAt = deadline::never();
    m_excluded = m_tried;
    return true;
}

deadline reservation_search::nextRoundAt() const
{
    return m_nextRoundAt;
}

} // namespace burdockshelf
