#pragma once

#include "core/deadline.h"
#include "core/units.h"
#include "state/log_record.h"

#include <vector>

namespace burdockshelf
{

/// What a member may decide at an epoch, as roster_authority has worked it out. Whoever decides checks the deadlines at the moment of the
/// decision, on the clock that counts suspend.
struct decision_authority
{
    data_centre_id dataCentre;
    roster_member self;
    roster_epoch epoch;
    /// Empty while this incarnation is in no roster.
    std::vector<roster_member> members;
    /// Offset of the epoch's record, used as fencing token.
    log_offset fencingOffset;
    /// The authority ends here unless it is extended.
    deadline until;
    /// From here on the owners of earlier epochs have surely stopped, and a new owner may act.
    deadline exclusiveFrom;

    bool isValid(instant now) const
    {
        return !members.empty() && !until.hasPassed(now);
    }

    /// True when a new owner may act on what others owned before.
    bool isSettled(instant now) const
    {
        return isValid(now) && exclusiveFrom.hasPassed(now);
    }
};

} // namespace burdockshelf
