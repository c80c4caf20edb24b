#include "gateway/flow_deadlines.h"

namespace burdockshelf
{

flow_deadlines::flow_deadlines(event_loop &loop, std::function<void(flow_id)> onDue)
    : m_onDue(std::move(onDue))
    , m_timer(loop, [this] { checkDue(); })
{
}

void flow_deadlines::set(flow_id flow, deadline at)
{
    if (at.isNever()) {
        remove(flow);
        return;
    }
    const auto known = m_byFlow.find(flow);
    if (known != m_byFlow.end() && known->second == at.at()) {
        return;
    }
    if (known != m_byFlow.end()) {
        m_inOrder.erase({known->second, flow});
    }
    m_byFlow[flow] = at.at();
    m_inOrder.insert({at.at(), flow});
    arm();
}

void flow_deadlines::remove(flow_id flow)
{
    const auto known = m_byFlow.find(flow);
    if (known != m_byFlow.end()) {
        m_inOrder.erase({known->second, flow});
        m_byFlow.erase(known);
        arm();
    }
}

void flow_deadlines::arm()
{
    if (m_inOrder.empty()) {
        m_timer.stop();
        return;
    }
    const deadline first(m_inOrder.begin()->first);
    // A timer that fires too early finds nothing due and is armed again, which is cheaper than moving it with every request.
    if (!m_timer.isArmed() || first < m_timer.at()) {
        m_timer.start(first);
    }
}

void flow_deadlines::checkDue()
{
    const instant now = boot_clock::now();
    while (!m_inOrder.empty() && m_inOrder.begin()->first <= now) {
        const flow_id due = m_inOrder.begin()->second;
        m_inOrder.erase(m_inOrder.begin());
        m_byFlow.erase(due);
        m_onDue(due);
    }
    arm();
}

} // namespace burdockshelf
