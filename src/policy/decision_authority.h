#pragma once

#include "core/deadline.h"
#include "core/units.h"
#include "state/log_record.h"

#include <vector>

namespace burdockshelf
{

/// The authority of a roster member to make decisions at an epoch, as determined by roster_authority. Code that makes a decision checks the
/// deadlines at that moment on boot_clock, which counts suspend time.
struct decision_authority
{
    data_centre_id dataCentre;
    roster_member self;
    roster_epoch epoch;
    /// Empty while this incarnation has no authority: it is in no roster, it is leaving, or the roster was reset.
    std::vector<roster_member> members;
    /// Log offset of the record that began the epoch; used as the fencing token.
    log_offset fencingOffset;
    /// The authority ends at this deadline unless it is extended.
    deadline until;
    /// From this instant on, the owners of earlier epochs have certainly stopped and a new owner may act.
    deadline exclusiveFrom;

    bool isValid(instant now) const
    {
        return !members.empty() && !until.hasPassed(now);
    }

    /// True if a new owner may act on what other members owned at earlier epochs.
    bool isExclusive(instant now) const
    {
        return isValid(now) && exclusiveFrom.hasPassed(now);
    }
};

} // namespace burdockshelf
