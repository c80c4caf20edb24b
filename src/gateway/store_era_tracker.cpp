#include "gateway/store_era_tracker.h"

namespace burdockshelf
{

era_verdict store_era_tracker::judgeStore(std::optional<store_era> seen)
{
    if (!seen) {
        m_hasReadWithoutEra = m_hasReadWithoutEra || !m_current;
        return era_verdict::current;
    }
    return judge(*seen);
}

era_verdict store_era_tracker::judgePeer(std::optional<store_era> seen)
{
    if (!seen) {
        return m_hasSeenRestore ? era_verdict::outdated : era_verdict::current;
    }
    return judge(*seen);
}

std::optional<store_era> store_era_tracker::current() const
{
    return m_current;
}

era_verdict store_era_tracker::judge(store_era seen)
{
    if (m_current && seen < *m_current) {
        return era_verdict::outdated;
    }
    // The first era that a process sees is no restore, unless it has read something before for which the era is not known.
    const bool hasRisen = m_current ? seen > *m_current : m_hasReadWithoutEra;
    m_current = seen;
    m_hasSeenRestore = m_hasSeenRestore || hasRisen;
    return hasRisen ? era_verdict::risen : era_verdict::current;
}

} // namespace burdockshelf
