#include "load/offered_allowance.h"

#include <algorithm>

namespace burdockshelf
{

offered_allowance::offered_allowance(token_rate rate, token_count burst)
    : m_rate(static_cast<double>(rate.value()))
    , m_burst(static_cast<double>(burst.value()))
    , m_level(m_burst)
{
}

bool offered_allowance::take(boot_clock::duration sinceStart, token_count cost)
{
    const double seconds = std::chrono::duration<double>(sinceStart - m_last).count();
    m_last = sinceStart;
    m_level = std::min(m_burst, m_level + seconds * m_rate);
    const auto wanted = static_cast<double>(cost.value());
    if (m_level < wanted) {
        return false;
    }
    m_level -= wanted;
    return true;
}

} // namespace burdockshelf
