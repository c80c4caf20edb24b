#pragma once

#include "core/boot_clock.h"
#include "core/units.h"

namespace burdockshelf
{

/// The bench's own account of a workspace's rate, apart from the product's code: a token bucket that begins full and is charged the true
/// cost of each request when it is offered.
class offered_allowance
{
public:
    offered_allowance(token_rate rate, token_count burst);

    /// True when the allowance covered the cost, which is then taken.
    bool take(boot_clock::duration sinceStart, token_count cost);

private:
    double m_rate;
    double m_burst;
    double m_level;
    boot_clock::duration m_last {0};
};

} // namespace burdockshelf
