#pragma once

#include "core/ids.h"
#include "policy/retry_budget.h"

#include <map>

namespace burdockshelf
{

/// Bounds of repeats over the whole fleet, per service.
struct retry_limits
{
    /// Repeats in a hundred requests.
    std::int64_t perHundred = 20;
    /// Repeats in a window that the ratio does not cover, over all instances.
    std::int64_t fixedAllowance = 50;
};

/// This instance's share of the fleet's repeats: calls to endpoints beyond the first of each request, per service. Needs no message,
/// because the ratio holds for each instance by itself and the slack is split among them.
class service_retry_budget
{
public:
    explicit service_retry_budget(retry_limits limits);

    void setInstanceCount(std::int64_t count);
    /// A request of the service has come.
    void earn(const service_id &service, instant now);
    /// False when no further repeat is allowed now.
    bool spend(const service_id &service, instant now);

private:
    retry_budget &of(const service_id &service, instant now);

    retry_limits m_limits;
    std::int64_t m_instanceCount = 1;
    std::map<service_id, retry_budget> m_services;
};

} // namespace burdockshelf
