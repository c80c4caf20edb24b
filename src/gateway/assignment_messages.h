#pragma once

#include "core/boot_clock.h"
#include "core/units.h"
#include "forwarding/quota_messages.h"
#include "forwarding/stage_balancer.h"

#include <variant>
#include <vector>

namespace burdockshelf
{

/// The duties of this instance, as the store has confirmed them. They count from the sending of the call.
struct assignment_confirmed
{
    fencing_token generation;
    bool holdsStageControl = false;
    std::vector<quota_partition> quotaPartitions;
    instant sentAt;
};

/// The engines that this instance knows, sent again and again.
struct engines_listed
{
    std::vector<engine_snapshot> engines;
};

/// To the task that orders engines.
using stage_control_message = std::variant<assignment_confirmed, engines_listed>;

/// The list of those who hold the parts of the quotas' pool is needed, or is out of date.
struct holders_requested
{
};

/// To the task that keeps this instance in the group.
using group_message = std::variant<holders_requested>;

} // namespace burdockshelf
