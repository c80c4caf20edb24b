#pragma once

#include <cstdint>
#include <optional>

namespace burdockshelf
{

/// Estimate of the median of a sequence of positive values that follows changes. The estimators of Boost.Accumulators weigh all values of
/// the past equally, so they would not follow a service whose usual times change.
class running_median
{
public:
    void add(double value);
    /// Nothing before the first value.
    std::optional<double> value() const;

private:
    double m_value = 0.0;
    std::int64_t m_count = 0;
};

} // namespace burdockshelf
