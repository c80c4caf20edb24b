#pragma once

#include "state/claim_replay.h"
#include "state/replay_result.h"
#include "state/state_view.h"
#include "state/stored_record.h"

#include <cstdint>
#include <map>
#include <vector>

namespace burdockshelf
{

/// Replays the platform's log deterministically. Records may arrive repeatedly and in any order; they are applied in the order of their
/// offsets, without gaps. After a gap, for example when the beginning of the log has been truncated, records wait for the missing ones or
/// for a snapshot that covers them. The covered offset never decreases.
class log_replay
{
public:
    /// A claim is dropped once the highest record time exceeds the claim's time by the idempotency window, a pending reallocation likewise
    /// by the reallocation window. The latter is twice takeover_wait: once for members that are disconnected from the log, and once for the
    /// difference between the writers' clocks. Both windows must be the same at all readers.
    explicit log_replay(record_time idempotencyWindow, record_time reallocationWindow = std::chrono::hours(4));

    replay_result apply(const std::vector<stored_record> &records);
    /// Replaces the state by a peer's. Does nothing unless the peer's state covers more of the log, at the same or a newer configuration
    /// version.
    replay_result load(const snapshot &state);

    /// Offset of the last record that the state includes, -1 when there is none.
    log_offset covered() const;
    /// True while records wait for missing ones.
    bool hasGap() const;
    std::size_t waitingRecords() const;
    /// Number of skipped records: those whose kind or version is not supported or whose body is malformed.
    std::uint64_t skippedRecords() const;

    /// The complete state, as written to a snapshot record or sent to a peer.
    snapshot state() const;
    state_view_ptr view() const;
    /// Version of the configuration in force; 0 when there is none.
    configuration_version version() const;
    const std::map<claim_id, claim_state> &claims() const;

private:
    using rejection = std::optional<record_rejection>;

    void advance(replay_result &result);
    void applyNext(stored_record record, replay_result &result);
    const snapshot *findUsableSnapshot() const;
    void replaceState(const snapshot &state, replay_result &result);
    void dropExpiredReallocations();

    rejection decide(const configuration_change &change, replay_result &result);
    rejection decide(const key_grant &grant, replay_result &result);
    rejection decide(const key_withdrawal &withdrawal, replay_result &result);
    rejection decide(const drain_change &change, replay_result &result);
    rejection decide(const roster_change &change, replay_result &result);
    rejection decide(const roster_takeover &takeover, replay_result &result);
    rejection decide(const roster_reset &reset, replay_result &result);
    rejection decide(const claim_batch &batch, replay_result &result);
    rejection decide(const outcome_batch &batch, replay_result &result);
    rejection decide(const snapshot &state, replay_result &result);
    rejection decide(const unknown_record &record, replay_result &result);

    state_view m_view;
    claim_replay m_claims;
    record_time m_reallocationWindow;
    std::map<log_offset, stored_record> m_waiting;
    std::uint64_t m_skipped = 0;
};

} // namespace burdockshelf
