#pragma once

#include "core/boot_clock.h"

#include <cstdint>

namespace burdockshelf
{

struct retry_budget_settings
{
    /// Retries earned by a hundred first attempts.
    std::int64_t perHundred = 10;
    /// Retries earned per second regardless of traffic, so that a few requests can be retried even at a low request rate.
    std::int64_t perSecond = 1;
    /// Maximum number of retries that can accumulate.
    std::int64_t limit = 50;
};

/// Limits the retries of an instance to a share of its first attempts, so that retries cannot multiply the load on a failing system.
class retry_budget
{
public:
    explicit retry_budget(retry_budget_settings settings, instant now);

    /// Records the first attempt of a request.
    void earn();
    /// Takes one retry out of the budget; false if none is left.
    bool spend(instant now);

private:
    void add(std::int64_t units);

    retry_budget_settings m_settings;
    std::int64_t m_units;
    instant m_updated;
};

} // namespace burdockshelf
