#pragma once

#include "core/deadline.h"
#include "state/state_view.h"

#include <chrono>

namespace burdockshelf
{

/// Decides when the state has to be written to the log again, so that a fresh reader always finds a usable snapshot although the platform
/// drops old records: once a third of what the log keeps, by number or by age, lies behind the last snapshot.
class snapshot_schedule
{
public:
    /// The age at which the platform drops records.
    explicit snapshot_schedule(std::chrono::milliseconds retention);

    /// Notes a snapshot record that was read. Its age is not known, so it counts from now.
    void trackSnapshot(log_offset offset, instant now);
    bool isDue(log_offset first, log_offset head, instant now) const;
    log_offset lastSnapshot() const;

private:
    std::chrono::milliseconds m_retention;
    log_offset m_last {-1};
    // Without a snapshot the first records make one due.
    deadline m_tooOld = deadline::never();
};

/// Place of an instance in the order in which instances write the snapshot after the last one, from 0. An instance that is in no roster
/// comes last. The same for every reader of the log, and different for each snapshot.
std::size_t snapshotWriterRank(const state_view &view, const roster_member &self, log_offset lastSnapshot);

} // namespace burdockshelf
