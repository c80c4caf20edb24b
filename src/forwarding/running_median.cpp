#include "forwarding/running_median.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

// A value moves the estimate by this fraction of it, up or down, and by more while there are few values.
constexpr double stepFraction = 0.02;
constexpr double firstStepFraction = 0.5;

} // namespace

void running_median::add(double value)
{
    if (value <= 0.0) {
        return;
    }
    ++m_count;
    if (m_count == 1) {
        m_value = value;
        return;
    }
    const double step = std::max(stepFraction, firstStepFraction / static_cast<double>(m_count)) * m_value;
    // A step never passes the value itself.
    m_value = value > m_value ? std::min(m_value + step, value) : std::max(m_value - step, value);
}

std::optional<double> running_median::value() const
{
    return m_count == 0 ? std::nullopt : std::optional(m_value);
}

} // namespace burdockshelf
