#pragma once

#include "core/boot_clock.h"

namespace burdockshelf
{

/// A token bucket with a fractional level, for rates that are shares of a limit over all instances. Starts full unless created by
/// startEmpty().
class fractional_token_bucket
{
public:
    fractional_token_bucket() = default;
    fractional_token_bucket(double ratePerSecond, double burst, instant now);
    static fractional_token_bucket startEmpty(double ratePerSecond, double burst, instant now);

    /// Changes rate and burst; a level above the new burst is cut.
    void setRateAndBurst(double ratePerSecond, double burst, instant now);
    bool take(double amount, instant now);
    /// Adds the amount to the level, up to the burst. A positive amount refunds tokens that were taken and not used. A negative amount is a
    /// charge: it takes tokens without checking the level and may leave the bucket in debt.
    void refundCost(double amount);
    /// Time until the amount could be taken.
    boot_clock::duration waitFor(double amount, instant now);
    double level(instant now);
    double burst() const;

private:
    void advance(instant now);

    double m_ratePerSecond = 0.0;
    double m_burst = 0.0;
    double m_level = 0.0;
    instant m_updated;
};

} // namespace burdockshelf
