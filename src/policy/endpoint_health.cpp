#include "policy/endpoint_health.h"

#include <algorithm>

namespace burdockshelf
{

endpoint_health::endpoint_health(endpoint_health_settings settings)
    : m_settings(settings)
{
}

bool endpoint_health::allows(instant now) const
{
    return !m_isOpen || (m_openUntil.hasPassed(now) && m_probeUntil.hasPassed(now));
}

void endpoint_health::started(instant now)
{
    if (m_isOpen) {
        m_probeUntil = deadline::after(now, m_settings.probeTime);
    }
}

void endpoint_health::succeeded()
{
    m_failures = 0;
    m_isOpen = false;
}

void endpoint_health::failed(instant now, random_source &random)
{
    ++m_failures;
    // Attempts that were started before the breaker opened may fail later; only the probe's failure lengthens the wait.
    const bool isProbe = m_isOpen && m_openUntil.hasPassed(now);
    if (m_isOpen ? !isProbe : m_failures < m_settings.openAfter) {
        return;
    }
    m_openTime = m_isOpen ? std::min(m_openTime * 2, m_settings.longestOpenTime) : m_settings.firstOpenTime;
    m_isOpen = true;
    const auto jittered = std::chrono::duration_cast<boot_clock::duration>(m_openTime * (0.75 + 0.5 * random.uniform()));
    m_openUntil = deadline::after(now, jittered);
    m_probeUntil = deadline();
}

bool endpoint_health::isOpen() const
{
    return m_isOpen;
}

} // namespace burdockshelf
