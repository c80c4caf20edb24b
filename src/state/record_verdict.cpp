#include "state/record_verdict.h"

#include <array>

namespace burdockshelf
{

namespace
{

struct rejection_name
{
    record_rejection reason;
    std::string_view name;
};

constexpr std::array rejectionNames = {
    rejection_name {record_rejection::already_replayed, "already_replayed"},
    rejection_name {record_rejection::base_superseded, "base_superseded"},
    rejection_name {record_rejection::key_already_granted, "key_already_granted"},
    rejection_name {record_rejection::key_withdrawn, "key_withdrawn"},
    rejection_name {record_rejection::sequence_superseded, "sequence_superseded"},
    rejection_name {record_rejection::epoch_superseded, "epoch_superseded"},
    rejection_name {record_rejection::takeover_pending, "takeover_pending"},
    rejection_name {record_rejection::no_effect, "no_effect"},
    rejection_name {record_rejection::claims_lost, "claims_lost"},
    rejection_name {record_rejection::claims_not_held, "claims_not_held"},
    rejection_name {record_rejection::snapshot_not_needed, "snapshot_not_needed"},
    rejection_name {record_rejection::unknown_record, "unknown_record"},
};

} // namespace

std::string_view rejectionName(record_rejection reason)
{
    for (const rejection_name &entry : rejectionNames) {
        if (entry.reason == reason) {
            return entry.name;
        }
    }
    return "unknown";
}

} // namespace burdockshelf
