#include "forwarding/service_retry_budget.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

// The instances use the fixed allowance divided by this; the rest covers instances that do not know of a new one yet.
constexpr std::int64_t allowanceDivisor = 2;
// Limits the retries that one instance saves up: with more, one instance could use in one burst what all the others have saved as well.
constexpr std::int64_t maxSavedRetries = 6;

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
    settings.limit = std::clamp<std::int64_t>(m_limits.fixedAllowance / (allowanceDivisor * m_instanceCount), 1, maxSavedRetries);
    return m_services.emplace(service, retry_budget(settings, now)).first->second;
}

} // namespace burdockshelf
