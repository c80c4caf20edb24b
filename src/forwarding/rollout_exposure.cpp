#include "forwarding/rollout_exposure.h"

namespace burdockshelf
{

rollout_exposure::rollout_exposure(double share)
    : m_share(share)
{
}

void rollout_exposure::noteReached()
{
    ++m_reached;
}

bool rollout_exposure::mayTake(std::int64_t attempts) const
{
    return static_cast<double>(m_taken + attempts) <= m_share * static_cast<double>(m_reached);
}

bool rollout_exposure::take(std::int64_t attempts)
{
    if (!mayTake(attempts)) {
        return false;
    }
    m_taken += attempts;
    return true;
}

std::int64_t rollout_exposure::reached() const
{
    return m_reached;
}

std::int64_t rollout_exposure::taken() const
{
    return m_taken;
}

} // namespace burdockshelf
