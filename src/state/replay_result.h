#pragma once

#include "state/record_verdict.h"
#include "state/stored_record.h"

#include <set>
#include <vector>

namespace burdockshelf
{

/// Result of applying records or loading a snapshot.
struct replay_result
{
    /// Verdicts of the records that were decided, in log order. Records that wait after a gap have no verdict yet; records covered by a
    /// loaded snapshot never get one.
    std::vector<record_verdict> verdicts;
    /// The records that were decided, in log order, without those that had been replayed before.
    std::vector<stored_record> applied;
    /// True when anything besides claims and the covered offset has changed.
    bool hasViewChanged = false;
    std::set<claim_id> changedClaims;
    std::set<claim_id> expiredClaims;
};

} // namespace burdockshelf
