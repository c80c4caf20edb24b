#pragma once

#include "core/boot_clock.h"
#include "wire/platform_codec.h"

#include <cstddef>
#include <deque>

namespace burdockshelf
{

/// What the log keeps.
struct log_retention
{
    std::size_t records = 100'000;
    std::chrono::milliseconds age {86'400'000};
};

/// The platform's log in memory: records by offset, of which the oldest are dropped by number and age.
class standin_log
{
public:
    explicit standin_log(log_retention retention);

    log_offset append(const log_append &append, instant now);
    /// Records from the offset on, or from the oldest kept when that is later.
    log_page read(log_offset from, std::size_t limit, instant now);
    /// Drops all but the newest records.
    void keepOnly(std::size_t count);
    log_offset head() const;

private:
    struct entry
    {
        logged_record record;
        instant at;
    };

    void expire(instant now);

    log_retention m_retention;
    log_offset m_first;
    std::deque<entry> m_entries;
};

} // namespace burdockshelf
