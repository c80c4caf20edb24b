#pragma once

#include "forwarding/flow_messages.h"
#include "logging/log_writer_task.h"
#include "runtime/timer.h"

#include <functional>
#include <map>
#include <set>
#include <utility>

namespace burdockshelf
{

/// The next deadline of each request, multiplexed onto one timer. Owned by the dispatcher. Logs a check that runs late, because nothing was
/// read from any socket while the event loop was held up.
class flow_deadlines
{
public:
    flow_deadlines(event_loop &loop, std::function<void(flow_id)> onDue, event_log log);

    /// Replaces the request's deadline; deadline::never() removes it.
    void set(flow_id flow, deadline at);
    void remove(flow_id flow);

private:
    void arm();
    void checkDue();
    void logIfLate(instant now);

    std::function<void(flow_id)> m_onDue;
    std::map<flow_id, instant> m_deadlineByFlow;
    std::set<std::pair<instant, flow_id>> m_flowsByDeadline;
    event_log m_log;
    timer m_timer;
};

} // namespace burdockshelf
