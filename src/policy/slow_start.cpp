#include "policy/slow_start.h"

#include <algorithm>

namespace burdockshelf
{

slow_start::slow_start(slow_start_settings settings)
    : m_settings(settings)
{
}

slot_count slow_start::window() const
{
    return m_window;
}

std::uint64_t slow_start::generation() const
{
    return m_generation;
}

void slow_start::observe(const incarnation_id &incarnation, slot_count total)
{
    if (!m_incarnation) {
        m_window = slot_count(1);
    } else if (*m_incarnation != incarnation) {
        collapse();
    }
    m_incarnation = incarnation;
    m_window = std::clamp(m_window, slot_count(1), std::max(total, slot_count(1)));
}

void slow_start::record(attempt_verdict verdict, std::uint64_t generation, slot_count total)
{
    if (generation != m_generation || verdict == attempt_verdict::cancelled) {
        return;
    }
    if (verdict == attempt_verdict::succeeded) {
        m_consecutiveFailures = 0;
        m_window = std::max(m_window, std::min(m_window + slot_count(1), total));
        return;
    }
    if (++m_consecutiveFailures >= m_settings.collapseAfter) {
        collapse();
    }
}

void slow_start::collapse()
{
    m_window = slot_count(1);
    m_consecutiveFailures = 0;
    ++m_generation;
}

} // namespace burdockshelf
