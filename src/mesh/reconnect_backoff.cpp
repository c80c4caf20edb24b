#include "mesh/reconnect_backoff.h"

#include <algorithm>

namespace burdockshelf
{

reconnect_backoff::reconnect_backoff(backoff_settings settings)
    : m_settings(settings)
    , m_ceiling(settings.least)
{
}

boot_clock::duration reconnect_backoff::next(random_source &random)
{
    const auto half = m_ceiling / 2;
    const auto jitter = std::chrono::duration<double, boot_clock::period>(static_cast<double>(half.count()) * random.uniform());
    m_ceiling = std::min<boot_clock::duration>(m_ceiling * 2, m_settings.most);
    return half + std::chrono::duration_cast<boot_clock::duration>(jitter);
}

void reconnect_backoff::reset()
{
    m_ceiling = m_settings.least;
}

} // namespace burdockshelf
