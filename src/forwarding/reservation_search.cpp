#include "forwarding/reservation_search.h"

namespace burdockshelf
{

void reservation_search::begin(const std::vector<endpoint_id> &tried, deadline until)
{
    m_tried = tried;
    m_excluded = tried;
    m_pace = {};
    m_pace.until = until;
    m_nextRoundAt = deadline::never();
}

void reservation_search::setPace(const search_pace &pace)
{
    m_pace = pace;
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
    return m_excluded.size() >= m_tried.size() + m_pace.maxAsked;
}

report_failed_reservations reservation_search::endRound(token_count tokens, std::optional<search_facts> facts)
{
    const auto asked = m_excluded.begin() + static_cast<std::ptrdiff_t>(m_tried.size());
    return {++m_rounds, tokens, {asked, m_excluded.end()}, m_pace.until, facts};
}

bool reservation_search::scheduleNextRound(instant now)
{
    if (m_pace.until.hasPassed(now)) {
        return false;
    }
    m_nextRoundAt = deadline::after(now, m_pace.interval);
    return true;
}

bool reservation_search::startDueRound(instant now, bool isCapacityOffered)
{
    const bool isDue = m_nextRoundAt.hasPassed(now) || (isCapacityOffered && !m_nextRoundAt.isNever());
    if (!isDue) {
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
