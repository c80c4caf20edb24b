#pragma once

#include "core/boot_clock.h"

namespace burdockshelf
{

/// A token bucket in fractions, for rates that are shares of a fleet-wide bound. Begins full unless said otherwise.
class rate_window
{
public:
    rate_window() = default;
    rate_window(double ratePerSecond, double burst, instant now);
    static rate_window beginEmpty(double ratePerSecond, double burst, instant now);

    /// Changes the bound; a level above the new burst is cut.
    void setBound(double ratePerSecond, double burst, instant now);
    bool take(double amount, instant now);
    /// Puts back what was taken and not used.
    void refundCost(double amount);
    /// Time until the amount could be taken.
    boot_clock::duration waitFor(double amount, instant now);
    double level(instant now);

private:
    void advance(instant now);

    double m_ratePerSecond = 0.0;
    double m_burst = 0.0;
    double m_level = 0.0;
    instant m_updated;
};

} // namespace burdockshelf
