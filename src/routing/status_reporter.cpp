#include "routing/status_reporter.h"

#include <utility>

namespace burdockshelf
{

status_reporter::status_reporter(event_loop &loop, std::chrono::milliseconds interval, report_function report)
    : m_interval(interval)
    , m_report(std::move(report))
    , m_timer(loop, [this] { this->report(); })
{
}

void status_reporter::noteChange()
{
    if (!m_timer.isArmed()) {
        m_timer.start(m_nextReport);
    }
}

void status_reporter::report()
{
    m_nextReport = deadline::after(boot_clock::now(), m_interval);
    if (!m_report()) {
        noteChange();
    }
}

} // namespace burdockshelf
