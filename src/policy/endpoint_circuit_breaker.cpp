#include "policy/endpoint_circuit_breaker.h"

#include <algorithm>

namespace burdockshelf
{

endpoint_circuit_breaker::endpoint_circuit_breaker(circuit_breaker_settings settings)
    : m_settings(settings)
{
}

bool endpoint_circuit_breaker::allows(instant now) const
{
    return !m_isOpen || (m_openUntil.hasPassed(now) && m_probeUntil.hasPassed(now));
}

void endpoint_circuit_breaker::started(instant now)
{
    if (m_isOpen) {
        m_probeUntil = deadline::after(now, m_settings.probeTimeout);
    }
}

void endpoint_circuit_breaker::succeeded()
{
    m_failures = 0;
    m_isOpen = false;
}

void endpoint_circuit_breaker::failed(instant now, random_source &random)
{
    ++m_failures;
    // Attempts that were started before the breaker opened may fail later. Only the failure of the probe extends the open time.
    const bool isProbe = m_isOpen && m_openUntil.hasPassed(now);
    if (m_isOpen ? !isProbe : m_failures < m_settings.failureThreshold) {
        return;
    }
    m_openTime = m_isOpen ? std::min(m_openTime * 2, m_settings.maxOpenTime) : m_settings.initialOpenTime;
    m_isOpen = true;
    const auto jittered = std::chrono::duration_cast<boot_clock::duration>(m_openTime * (0.75 + 0.5 * random.uniform()));
    m_openUntil = deadline::after(now, jittered);
    m_probeUntil = deadline();
}

bool endpoint_circuit_breaker::isOpen() const
{
    return m_isOpen;
}

} // namespace burdockshelf
