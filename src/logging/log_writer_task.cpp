#include "logging/log_writer_task.h"

#include <cerrno>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace burdockshelf
{

namespace
{

// Holds a few seconds of log lines under load while the reader of the log is stalled.
constexpr std::size_t maxBufferBytes = 256 * 1024;
// Lines are collected for this long, so that a burst needs only one system call.
constexpr std::chrono::milliseconds flushInterval {20};

} // namespace

log_writer_task::log_writer_task(event_loop &loop, std::shared_ptr<mailbox<log_line>> box, int descriptor)
    : task(std::move(box))
    , m_descriptor(descriptor)
    , m_flushTimer(loop, [this] { flush(); })
{
}

log_writer_task::~log_writer_task()
{
    flush();
}

outcome<void> log_writer_task::start()
{
    const int flags = fcntl(m_descriptor, F_GETFL);
    if (flags < 0 || fcntl(m_descriptor, F_SETFL, flags | O_NONBLOCK) != 0) {
        return failure(error_code::unavailable, "cannot switch the log's file descriptor to non-blocking mode");
    }
    return success();
}

void log_writer_task::beginShutdown()
{
    flush();
    finish();
}

void log_writer_task::handle(log_line &&line)
{
    if (m_droppedLines > 0 && m_buffer.size() < maxBufferBytes / 2) {
        append(log_line("log", "lines_dropped").add("count", std::exchange(m_droppedLines, 0)));
    }
    append(line);
    if (!m_flushTimer.isArmed()) {
        m_flushTimer.start(deadline::after(boot_clock::now(), flushInterval));
    }
}

void log_writer_task::append(const log_line &line)
{
    if (m_buffer.size() + line.text().size() > maxBufferBytes) {
        ++m_droppedLines;
        return;
    }
    m_buffer.append("time_ms=").append(std::to_string(unixTime().count())).append(" ").append(line.text()).append("\n");
}

void log_writer_task::flush()
{
    while (!m_buffer.empty()) {
        const ssize_t written = ::write(m_descriptor, m_buffer.data(), m_buffer.size());
        if (written <= 0) {
            if (written < 0 && errno == EINTR) {
                continue;
            }
            m_flushTimer.start(deadline::after(boot_clock::now(), flushInterval));
            return;
        }
        m_buffer.erase(0, static_cast<std::size_t>(written));
    }
}

event_log::event_log(sink<log_line> to)
    : m_to(std::move(to))
{
}

void event_log::write(log_line line)
{
    if (m_droppedLines > 0) {
        line.add("lines_dropped_before", m_droppedLines);
    }
    m_droppedLines = m_to.post(std::move(line)) == post_result::delivered ? 0 : m_droppedLines + 1;
}

} // namespace burdockshelf
