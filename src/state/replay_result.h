#pragma once

#include "state/record_verdict.h"
#include "state/stored_record.h"

#include <set>
#include <vector>

namespace burdockshelf
{

/// What a step of replay has changed.
struct replay_result
{
    /// One verdict per record that was decided, in log order. Records that wait behind a gap have none yet; records that a loaded snapshot
    /// covers never get one.
    std::vector<record_verdict> verdicts;
    /// The records that were decided, in log order and without those that were replayed before.
    std::vector<stored_record> applied;
    /// True when something other than claims has changed, the covered offset aside.
    bool hasViewChanged = false;
    std::set<claim_id> changedClaims;
    std::set<claim_id> expiredClaims;
};

} // namespace burdockshelf
