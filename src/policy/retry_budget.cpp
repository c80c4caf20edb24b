#include "policy/retry_budget.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

// Budget units per retry. Fine enough that both rates are whole numbers of units.
constexpr std::int64_t unitsPerRetry = 100'000;
constexpr std::int64_t millisecondsPerSecond = 1000;

} // namespace

retry_budget::retry_budget(retry_budget_settings settings, instant now)
    : m_settings(settings)
    , m_units(settings.limit * unitsPerRetry)
    , m_updated(now)
{
}

void retry_budget::earn()
{
    add(m_settings.perHundred * unitsPerRetry / 100);
}

bool retry_budget::spend(instant now)
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - m_updated);
    // After this time the budget is full anyway. A longer elapsed time is cut to it, since the product below could overflow.
    const std::int64_t longest = m_settings.perSecond == 0 ? 0 : m_settings.limit * millisecondsPerSecond / m_settings.perSecond;
    add(std::clamp<std::int64_t>(elapsed.count(), 0, longest) * m_settings.perSecond * unitsPerRetry / millisecondsPerSecond);
    m_updated += elapsed;
    if (m_units < unitsPerRetry) {
        return false;
    }
    m_units -= unitsPerRetry;
    return true;
}

void retry_budget::add(std::int64_t units)
{
    m_units = std::min(m_units + units, m_settings.limit * unitsPerRetry);
}

} // namespace burdockshelf
