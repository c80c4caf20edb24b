#pragma once

#include "core/boot_clock.h"
#include "core/units.h"
#include "forwarding/quota_messages.h"
#include "forwarding/stage_balancer.h"

#include <variant>
#include <vector>

namespace burdockshelf
{

/// This instance's group assignment, as confirmed by the store. Leases on it run from the time the request was sent.
struct assignment_confirmed
{
    fencing_token generation;
    bool holdsStageControl = false;
    std::vector<quota_partition> quotaPartitions;
    instant sentAt;
};

/// All engines known to this instance; sent periodically.
struct engines_listed
{
    std::vector<engine_snapshot> engines;
};

/// Messages for stage_control_task.
using stage_control_message = std::variant<assignment_confirmed, engines_listed>;

/// The list of the quota partition holders is missing or outdated.
struct holders_requested
{
};

/// Messages for the task that maintains this instance's group membership.
using group_message = std::variant<holders_requested>;

} // namespace burdockshelf
