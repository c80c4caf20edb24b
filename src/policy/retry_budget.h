#pragma once

#include "core/boot_clock.h"

#include <cstdint>

namespace burdockshelf
{

struct retry_budget_settings
{
    /// Retries that a hundred first attempts earn.
    std::int64_t perHundred = 10;
    /// Retries that are earned per second without any traffic, so that few requests can still be retried.
    std::int64_t perSecond = 1;
    /// Most retries that can be saved up.
    std::int64_t limit = 50;
};

/// Bounds the retries of an instance to a share of its first attempts, so that retries cannot multiply the load of a failing system.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings, instant now);

    /// A request makes its first attempt.
    void earn();
    /// Takes one retry out of the budget; false when there is none.
    bool spend(instant now);

private:
    void add(std::int64_t units);

    retry_budget_settings m_settings;
    std::int64_t m_units;
    instant m_updated;
};

} // namespace burdockshelf
