#pragma once

#include "forwarding/flow_messages.h"
#include "runtime/timer.h"

#include <functional>
#include <map>
#include <set>
#include <utility>

namespace burdockshelf
{

/// The next deadline of each request, multiplexed onto one timer. Owned by the dispatcher.
class flow_deadlines
{
public:
    flow_deadlines(event_loop &loop, std::function<void(flow_id)> onDue);

    /// Replaces the request's deadline; deadline::never() removes it.
    void set(flow_id flow, deadline at);
    void remove(flow_id flow);

private:
    void arm();
    void checkDue();

    std::function<void(flow_id)> m_onDue;
    std::map<flow_id, instant> m_deadlineByFlow;
    std::set<std::pair<instant, flow_id>> m_flowsByDeadline;
    timer m_timer;
};

} // namespace burdockshelf
