#pragma once

#include "forwarding/flow_messages.h"
#include "runtime/timer.h"

#include <functional>
#include <map>
#include <set>
#include <utility>

namespace burdockshelf
{

/// When each request has to be looked at next, on one timer. Owned by the dispatcher.
class flow_deadlines
{
public:
    flow_deadlines(event_loop &loop, std::function<void(flow_id)> onDue);

    /// Sets the request's deadline in place of the one before; never removes it.
    void set(flow_id flow, deadline at);
    void remove(flow_id flow);

private:
    void arm();
    void checkDue();

    std::function<void(flow_id)> m_onDue;
    std::map<flow_id, instant> m_byFlow;
    std::set<std::pair<instant, flow_id>> m_inOrder;
    timer m_timer;
};

} // namespace burdockshelf
