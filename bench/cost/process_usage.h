#pragma once

#include "core/outcome.h"
#include "core/units.h"

#include <chrono>
#include <sys/types.h>

namespace burdockshelf
{

/// What a process has used since its start.
struct process_usage
{
    /// Of all threads, from /proc/<pid>/task/*/schedstat: nanoseconds, where /proc/<pid>/stat counts in 10 ms ticks.
    std::chrono::nanoseconds processor {0};
    /// Resident memory at the time.
    byte_count resident;
    /// rchar + wchar of /proc/<pid>/io: what read and write calls moved. libevent uses readv and writev on sockets, so this is the payload
    /// of the sockets in both directions, and a little more: log lines and event counters.
    byte_count moved;
};

outcome<process_usage> readUsage(pid_t process);

} // namespace burdockshelf
