#include "forwarding/service_retry_budget.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

// Part of the fleet's slack that instances keep for themselves; the rest covers instances that have not yet heard of a new one.
constexpr std::int64_t slackDivisor = 2;
// A saved budget above this would let one instance repeat in a burst what all others have saved too.
constexpr std::int64_t mostSaved = 6;

} // namespace

service_retry_budget::service_retry_budget(retry_limits limits)
    : m_limits(limits)
{
}

void service_retry_budget::setInstanceCount(std::int64_t count)
{
    const std::int64_t known = std::max<std::int64_t>(count, 1);
    if (known != m_instanceCount) {
        m_instanceCount = known;
        m_services.clear();
    }
}

void service_retry_budget::earn(const service_id &service, instant now)
{
    of(service, now).earn();
}

bool service_retry_budget::spend(const service_id &service, instant now)
{
    return of(service, now).spend(now);
}

retry_budget &service_retry_budget::of(const service_id &service, instant now)
{
    const auto found = m_services.find(service);
    if (found != m_services.end()) {
        return found->second;
    }
    retry_budget_settings settings;
    settings.perHundred = m_limits.perHundred;
    settings.perSecond = 0;
    settings.limit = std::clamp<std::int64_t>(m_limits.fixedAllowance / (slackDivisor * m_instanceCount), 1, mostSaved);
    return m_services.emplace(service, retry_budget(settings, now)).first->second;
}

} // namespace burdockshelf
