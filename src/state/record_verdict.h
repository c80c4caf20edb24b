#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <optional>
#include <string_view>

namespace burdockshelf
{

/// Why replay rejected a record. A rejected record changes nothing that it asks for, but unless it was already replayed, it advances the
/// covered offset, and a configuration change or a batch of claims or outcomes also advances the latest record time, by which claims and
/// pending reallocations expire. All readers that decide on a record reach the same verdict.
enum class record_rejection
{
    /// The offset is not above the covered offset.
    already_replayed,
    /// The change is not based on the configuration version in force.
    base_superseded,
    key_already_granted,
    /// The key was withdrawn earlier; its tombstone is permanent.
    key_withdrawn,
    /// The sequence is not the current one of the drain target.
    sequence_superseded,
    /// The epoch is not the one after the data centre's current epoch, for a roster change, or not the current one, for a takeover or
    /// reset.
    epoch_superseded,
    /// A takeover of this epoch is already pending.
    takeover_pending,
    /// The state is already as the record requests.
    no_effect,
    /// Every claim of the batch is already held, was released by the same request before, or is older than the idempotency window.
    claims_lost,
    /// No outcome of the batch belongs to a claim in progress held by its request.
    claims_not_held,
    /// The state already covers what the snapshot contains.
    snapshot_not_needed,
    /// This build does not support the kind or version, or the body is malformed.
    unknown_record,
};

/// Name of the reason, as written to log lines.
std::string_view rejectionName(record_rejection reason);

/// Whether replay accepted a record, and if not, why.
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
