#pragma once

#include "logging/log_line.h"
#include "runtime/sink.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <memory>
#include <string>

namespace burdockshelf
{

/// Writes log lines to a file descriptor without blocking. Lines are kept in a buffer of limited size. Lines that do not fit are dropped
/// and counted; the count is logged once the buffer is less than half full.
class log_writer_task : public task<log_line>
{
public:
    log_writer_task(event_loop &loop, std::shared_ptr<mailbox<log_line>> box, int descriptor);
    ~log_writer_task() override;

    outcome<void> start() override;
    void beginShutdown() override;

private:
    void handle(log_line &&line) override;
    void append(const log_line &line);
    void flush();

    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;
    timer m_flushTimer;
};

/// Handle that tasks use to send lines to the log writer. Copies are cheap. A line that the mailbox does not accept is dropped and counted;
/// later lines report the count.
class event_log
{
public:
    event_log() = default;
    explicit event_log(sink<log_line> to);

    void write(log_line line);

private:
    sink<log_line> m_to;
    std::uint64_t m_droppedLines = 0;
};

} // namespace burdockshelf
