#pragma once

#include <cstddef>
#include <cstdint>

#include <sys/types.h>

namespace burdockshelf
{

/// What the kernel counts for a running process. All figures are 0 once it has ended.
class process_watch
{
public:
    explicit process_watch(pid_t process);

    /// The highest resident memory since the start.
    std::int64_t peakResidentKb() const;
    std::size_t openDescriptors() const;

private:
    pid_t m_process;
};

} // namespace burdockshelf
