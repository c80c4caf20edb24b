#include "forwarding/fractional_token_bucket.h"

#include <algorithm>

namespace burdockshelf
{

fractional_token_bucket::fractional_token_bucket(double ratePerSecond, double burst, instant now)
    : m_ratePerSecond(ratePerSecond)
    , m_burst(burst)
    , m_level(burst)
    , m_updated(now)
{
}

fractional_token_bucket fractional_token_bucket::startEmpty(double ratePerSecond, double burst, instant now)
{
    // The new token bucket; "window" does not mean a duration here.
    fractional_token_bucket window(ratePerSecond, burst, now);
    window.m_level = 0.0;
    return window;
}

void fractional_token_bucket::setRateAndBurst(double ratePerSecond, double burst, instant now)
{
    advance(now);
    // A larger burst does not add tokens at once: a share that shrinks and grows repeatedly would create tokens.
    m_ratePerSecond = ratePerSecond;
    m_burst = burst;
    m_level = std::min(m_level, burst);
}

bool fractional_token_bucket::take(double amount, instant now)
{
    advance(now);
    if (m_level < amount) {
        return false;
    }
    m_level -= amount;
    return true;
}

void fractional_token_bucket::refundCost(double amount)
{
    m_level = std::min(m_level + amount, m_burst);
}

boot_clock::duration fractional_token_bucket::waitFor(double amount, instant now)
{
    advance(now);
    if (m_level >= amount) {
        return {};
    }
    if (m_ratePerSecond <= 0.0) {
        return std::chrono::seconds(1);
    }
    return std::chrono::duration_cast<boot_clock::duration>(std::chrono::duration<double>((amount - m_level) / m_ratePerSecond));
}

double fractional_token_bucket::level(instant now)
{
    advance(now);
    return m_level;
}

double fractional_token_bucket::burst() const
{
    return m_burst;
}

void fractional_token_bucket::advance(instant now)
{
    if (now <= m_updated) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - m_updated;
    m_level = std::min(m_level + elapsed.count() * m_ratePerSecond, m_burst);
    m_updated = now;
}

} // namespace burdockshelf
