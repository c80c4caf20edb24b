#include "forwarding/rate_window.h"

#include <algorithm>

namespace burdockshelf
{

rate_window::rate_window(double ratePerSecond, double burst, instant now)
    : m_ratePerSecond(ratePerSecond)
    , m_burst(burst)
    , m_level(burst)
    , m_updated(now)
{
}

rate_window rate_window::beginEmpty(double ratePerSecond, double burst, instant now)
{
    rate_window window(ratePerSecond, burst, now);
    window.m_level = 0.0;
    return window;
}

void rate_window::setBound(double ratePerSecond, double burst, instant now)
{
    advance(now);
    // Growing the burst does not hand out the difference at once: a share that changes back and forth would make tokens out of nothing.
    m_ratePerSecond = ratePerSecond;
    m_burst = burst;
    m_level = std::min(m_level, burst);
}

bool rate_window::take(double amount, instant now)
{
    advance(now);
    if (m_level < amount) {
        return false;
    }
    m_level -= amount;
    return true;
}

void rate_window::refundCost(double amount)
{
    m_level = std::min(m_level + amount, m_burst);
}

boot_clock::duration rate_window::waitFor(double amount, instant now)
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

double rate_window::level(instant now)
{
    advance(now);
    return m_level;
}

void rate_window::advance(instant now)
{
    if (now <= m_updated) {
        return;
    }
    const std::chrono::duration<double> elapsed = now - m_updated;
    m_level = std::min(m_level + elapsed.count() * m_ratePerSecond, m_burst);
    m_updated = now;
}

} // namespace burdockshelf
