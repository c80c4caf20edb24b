#pragma once

#include "runtime/timer.h"

#include <chrono>
#include <functional>

namespace burdockshelf
{

/// Calls the report function of a task after changes, at most once per interval. Arms no timer while nothing changes, so that an idle
/// daemon uses no processor time. Owned by the reporting task.
class status_reporter
{
public:
    /// Returns false when a receiver's mailbox is full; the report is then repeated after the interval.
    using report_function = std::function<bool()>;

    status_reporter(event_loop &loop, std::chrono::milliseconds interval, report_function report);

    void noteChange();

private:
    void report();

    std::chrono::milliseconds m_interval;
    report_function m_report;
    deadline m_nextReport;
    timer m_timer;
};

} // namespace burdockshelf
