#pragma once

#include "core/deadline.h"
#include "state/state_view.h"

#include <chrono>

namespace burdockshelf
{

/// Decides when a new snapshot must be written to the log. The platform drops old records, and a new reader must always find a usable
/// snapshot. A snapshot is therefore due once the records after the last one make up a third of the log, by number or by age.
class snapshot_schedule
{
public:
    /// The retention is the age at which the platform drops records.
    explicit snapshot_schedule(std::chrono::milliseconds retention);

    /// Registers a snapshot record that was read. Its age is not known and is counted from now.
    void trackSnapshot(log_offset offset, instant now);
    bool isDue(log_offset first, log_offset head, instant now) const;
    log_offset lastSnapshot() const;

private:
    std::chrono::milliseconds m_retention;
    log_offset m_last {-1};
    // Until the first snapshot, only the number of records and a truncated log make a snapshot due.
    deadline m_maxAgeReachedAt = deadline::never();
};

/// Rank of an instance, from 0, among the instances that may write the next snapshot. An instance that is in no roster ranks last. All
/// readers of the log compute the same order, which differs for each snapshot.
std::size_t snapshotWriterRank(const state_view &view, const roster_member &self, log_offset lastSnapshot);

} // namespace burdockshelf
