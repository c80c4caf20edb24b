#pragma once

#include <vector>

namespace burdockshelf
{

/// One measurement: the sizes that were varied and the value that was found.
struct sample
{
    std::vector<double> sizes;
    double value = 0;
};

/// Least-squares fit of value = first + sum of slope * size. The first number returned is the value at size 0, then one slope for each
/// size; empty when the sizes do not determine them.
std::vector<double> fitSlopes(const std::vector<sample> &samples);

} // namespace burdockshelf
