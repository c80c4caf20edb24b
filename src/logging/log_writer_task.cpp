#include "logging/log_writer_task.h"

#include <cerrno>
#include <utility>

#include <fcntl.h>
#include <unistd.h>

namespace burdockshelf
{

namespace
{

// Lines that wait while the reader of the log stands still; a few seconds' worth under load.
constexpr std::size_t bufferBytes = 256 * 1024;
// Lines are gathered for this long, so that a burst costs one system call.
constexpr std::chrono::milliseconds gatherTime {20};

} // namespace

log_writer_task::log_writer_task(event_loop &loop, std::shared_ptr<mailbox<log_line>> box, int descriptor)
    : task(std::move(box))
    , m_descriptor(descriptor)
    , m_flush(loop, [this] { flush(); })
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
        return failure(error_code::unavailable, "the log's descriptor cannot be made non-blocking");
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
    if (m_dropped > 0 && m_buffer.size() < bufferBytes / 2) {
        append(log_line("log", "lines_dropped").add("count", std::exchange(m_dropped, 0)));
    }
    append(line);
    if (!m_flush.isArmed()) {
        m_flush.start(deadline::after(boot_clock::now(), gatherTime));
    }
}

void log_writer_task::append(const log_line &line)
{
    if (m_buffer.size() + line.text().size() > bufferBytes) {
        ++m_dropped;
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
            m_flush.start(deadline::after(boot_clock::now(), gatherTime));
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
    if (m_dropped > 0) {
        line.add("lines_dropped_before", m_dropped);
    }
    m_dropped = m_to.post(std::move(line)) == post_result::delivered ? 0 : m_dropped + 1;
}

} // namespace burdockshelf
