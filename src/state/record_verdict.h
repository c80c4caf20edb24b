#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <optional>
#include <string_view>

namespace burdockshelf
{

/// Why replay left the state as it was. The reasons are the same for every reader that decides on the record.
enum class record_rejection
{
    /// The offset is at or below the one that replay has reached.
    already_replayed,
    /// The configuration in force is not the one that the change is based on.
    base_superseded,
    key_already_granted,
    /// The key was withdrawn before; its tombstone stays.
    key_withdrawn,
    /// The sequence is not the current one of the drain's target.
    sequence_superseded,
    /// The epoch does not follow the data centre's roster, or does not name it.
    epoch_superseded,
    /// A takeover of this epoch stands already.
    takeover_pending,
    /// What the record asks for holds already.
    no_effect,
    /// Every claim of the batch is held by another request, was released by its own, or is older than the idempotency window.
    claims_lost,
    /// No outcome of the batch belongs to a claim in progress.
    claims_not_held,
    /// Replay is past what the snapshot covers.
    snapshot_not_needed,
    /// The kind or version is not known to this build, or the body is malformed.
    unknown_record,
};

/// The reason's name as it stands in logs.
std::string_view rejectionName(record_rejection reason);

/// What replay made of one record.
struct record_verdict
{
    log_offset offset;
    record_id id;
    /// Empty when the record was accepted.
    std::optional<record_rejection> rejection;

    bool isAccepted() const
    {
        return !rejection.has_value();
    }

    friend bool operator==(const record_verdict &, const record_verdict &) = default;
};

} // namespace burdockshelf
