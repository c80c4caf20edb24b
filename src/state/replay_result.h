#pragma once

#include "state/record_verdict.h"
#include "state/snapshot.h"

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
    /// True when something other than claims has changed, the covered offset aside.
    bool hasViewChanged = false;
    std::set<claim_id> changedClaims;
    std::set<claim_id> expiredClaims;
};

} // namespace burdockshelf
