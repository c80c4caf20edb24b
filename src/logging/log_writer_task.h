#pragma once

#include "logging/log_line.h"
#include "runtime/sink.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <memory>
#include <string>

namespace burdockshelf
{

/// Owns the log's descriptor. Lines wait in a buffer of fixed size and are written without blocking; what does not fit is dropped, counted,
/// and the count is written once there is room.
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
    std::uint64_t m_dropped = 0;
    timer m_flush;
};

/// Lines that tasks send to the writer. Copies are cheap. A full mailbox drops the line and counts it.
class event_log
{
public:
    event_log() = default;
    explicit event_log(sink<log_line> to);

    void write(log_line line);

private:
    sink<log_line> m_to;
    std::uint64_t m_dropped = 0;
};

} // namespace burdockshelf
