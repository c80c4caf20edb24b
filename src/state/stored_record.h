#pragma once

#include "state/log_record.h"
#include "state/snapshot.h"

#include <variant>

namespace burdockshelf
{

/// A record of any kind.
using log_record = std::variant<configuration_change,
                                key_grant,
                                key_withdrawal,
                                drain_change,
                                roster_change,
                                roster_takeover,
                                roster_reset,
                                claim_batch,
                                outcome_batch,
                                snapshot,
                                unknown_record>;

/// A record with its offset in the log and its id.
struct stored_record
{
    log_offset offset;
    record_id id;
    log_record record;

    friend bool operator==(const stored_record &, const stored_record &) = default;
};

} // namespace burdockshelf
