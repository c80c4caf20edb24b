#include "state/snapshot_schedule.h"

#include "core/digest.h"

namespace burdockshelf
{

namespace
{

constexpr std::int64_t retentionDivisor = 3;
// Fewer records since the last snapshot are replayed as fast as a new snapshot is read.
constexpr std::int64_t minRecordsForSnapshot = 32;

std::uint64_t weight(const roster_member &member, log_offset lastSnapshot)
{
    return stableHash(member.incarnation.value(), static_cast<std::uint64_t>(lastSnapshot.value()));
}

} // namespace

snapshot_schedule::snapshot_schedule(std::chrono::milliseconds retention)
    : m_retention(retention)
{
}

void snapshot_schedule::trackSnapshot(log_offset offset, instant now)
{
    if (offset > m_last) {
        m_last = offset;
        m_maxAgeReachedAt = deadline::after(now, m_retention / retentionDivisor);
    }
}

bool snapshot_schedule::isDue(log_offset first, log_offset head, instant now) const
{
    // Also true when the platform has already dropped the last snapshot, or none was read although the log is truncated.
    const bool isLastSnapshotNextToDrop = first > log_offset(0) && m_last <= first;
    if (isLastSnapshotNextToDrop || m_maxAgeReachedAt.hasPassed(now)) {
        return true;
    }
    const std::int64_t kept = (head - first).value();
    const std::int64_t since = (head - m_last).value() - 1;
    return since >= minRecordsForSnapshot && since * retentionDivisor >= kept;
}

log_offset snapshot_schedule::lastSnapshot() const
{
    return m_last;
}

std::size_t snapshotWriterRank(const state_view &view, const roster_member &self, log_offset lastSnapshot)
{
    const std::uint64_t own = weight(self, lastSnapshot);
    std::size_t members = 0;
    std::size_t rank = 0;
    bool isMember = false;
    for (const auto &[dataCentre, roster] : view.rosters) {
        for (const roster_member &member : roster.members) {
            ++members;
            isMember = isMember || member == self;
            rank += weight(member, lastSnapshot) > own ? 1 : 0;
        }
    }
    return isMember ? rank : members;
}

} // namespace burdockshelf
