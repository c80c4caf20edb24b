#include "gateway/store_retry.h"

#include <algorithm>

namespace burdockshelf
{

store_retry::store_retry(std::chrono::milliseconds responseTimeout, std::chrono::milliseconds extendedTimeout)
    : m_responseTimeout(responseTimeout)
    , m_extendedTimeout(std::max(extendedTimeout, responseTimeout))
{
}

bool store_retry::isFailing() const
{
    return m_isFailing;
}

bool store_retry::mustProbe() const
{
    return m_mustProbe;
}

std::chrono::milliseconds store_retry::probeTimeout() const
{
    return m_responseTimeout;
}

std::chrono::milliseconds store_retry::readTimeout() const
{
    return m_isFailing ? m_extendedTimeout : m_responseTimeout;
}

void store_retry::noteFailure()
{
    m_isFailing = true;
    m_mustProbe = true;
}

void store_retry::noteProbeAnswered()
{
    m_mustProbe = false;
}

void store_retry::noteComplete()
{
    m_isFailing = false;
    m_mustProbe = false;
}

} // namespace burdockshelf
