#pragma once

#include "core/ids.h"
#include "policy/retry_budget.h"

#include <map>

namespace burdockshelf
{

/// Limits of retries per service, over all instances.
struct retry_limits
{
    /// Retries per hundred requests.
    std::int64_t perHundred = 20;
    /// Retries beyond the ratio that are allowed in a window, over all instances.
    std::int64_t fixedAllowance = 50;
};

/// This instance's share of the retries that all instances may send, per service. A retry is a call to an endpoint beyond the first of a
/// request. The instances need not communicate: the ratio holds for each of them, and the fixed allowance is divided by their number.
class service_retry_budget
{
public:
    explicit service_retry_budget(retry_limits limits);

    void setInstanceCount(std::int64_t count);
    /// A request for the service has arrived.
    void earn(const service_id &service, instant now);
    /// Takes one retry from the budget; false when none is left.
    bool spend(const service_id &service, instant now);

private:
    retry_budget &of(const service_id &service, instant now);

    retry_limits m_limits;
    std::int64_t m_instanceCount = 1;
    std::map<service_id, retry_budget> m_services;
};

} // namespace burdockshelf
