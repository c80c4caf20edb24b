#pragma once

#include "core/boot_clock.h"

namespace burdockshelf
{

/// Decides whether the requests of a service that arrive in this instance's data centre are also placed in others. It begins when the best
/// endpoint at home has been worse than the best one elsewhere by a margin, on average over the last second, and ends only once the
/// difference is nearly gone, so that instances do not move back and forth.
class spill_over
{
public:
    /// Records the scores of the best endpoint at home and of the best one elsewhere.
    void note(double bestAtHome, double bestElsewhere, instant now);
    bool isSpilling() const;
    /// Added to the scores of the endpoints elsewhere.
    double remotePenalty() const;

private:
    double m_difference = 0.0;
    instant m_notedAt;
    bool m_isSpilling = false;
};

} // namespace burdockshelf
