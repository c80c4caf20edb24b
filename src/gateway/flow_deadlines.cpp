#include "gateway/flow_deadlines.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

// Shorter delays are usual on a small instance.
constexpr std::chrono::milliseconds lateCheckThreshold {200};

} // namespace

flow_deadlines::flow_deadlines(event_loop &loop, std::function<void(flow_id)> onDue, event_log log)
    : m_onDue(std::move(onDue))
    , m_log(std::move(log))
    , m_timer(loop, [this] { checkDue(); })
{
}

void flow_deadlines::set(flow_id flow, deadline at)
{
    if (at.isNever()) {
        remove(flow);
        return;
    }
    const auto known = m_deadlineByFlow.find(flow);
    if (known != m_deadlineByFlow.end() && known->second == at.at()) {
        return;
    }
    if (known != m_deadlineByFlow.end()) {
        m_flowsByDeadline.erase({known->second, flow});
    }
    m_deadlineByFlow[flow] = at.at();
    m_flowsByDeadline.insert({at.at(), flow});
    arm();
}

void flow_deadlines::remove(flow_id flow)
{
    const auto known = m_deadlineByFlow.find(flow);
    if (known != m_deadlineByFlow.end()) {
        m_flowsByDeadline.erase({known->second, flow});
        m_deadlineByFlow.erase(known);
        arm();
    }
}

void flow_deadlines::arm()
{
    if (m_flowsByDeadline.empty()) {
        m_timer.stop();
        return;
    }
    const deadline first(m_flowsByDeadline.begin()->first);
    // A timer that fires too early finds nothing due and is restarted, which is cheaper than moving it with every request.
    if (!m_timer.isArmed() || first < m_timer.at()) {
        m_timer.start(first);
    }
}

void flow_deadlines::checkDue()
{
    const instant now = boot_clock::now();
    logIfLate(now);
    while (!m_flowsByDeadline.empty() && m_flowsByDeadline.begin()->first <= now) {
        const flow_id due = m_flowsByDeadline.begin()->second;
        m_flowsByDeadline.erase(m_flowsByDeadline.begin());
        m_deadlineByFlow.erase(due);
        m_onDue(due);
    }
    arm();
}

void flow_deadlines::logIfLate(instant now)
{
    if (m_flowsByDeadline.empty() || now - m_flowsByDeadline.begin()->first <= lateCheckThreshold) {
        return;
    }
    const auto due =
        std::count_if(m_flowsByDeadline.begin(), m_flowsByDeadline.end(), [now](const auto &entry) { return entry.first <= now; });
    m_log.write(log_line("dispatch", "deadlines_late").add("late_ms", now - m_flowsByDeadline.begin()->first).add("requests", due));
}

} // namespace burdockshelf
