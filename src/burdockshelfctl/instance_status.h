#pragma once

#include "core/ids.h"
#include "core/outcome.h"
#include "core/units.h"

#include <string_view>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

/// What an instance says of itself on /status of its operators' port.
struct instance_status
{
    instance_id instance;
    data_centre_id dataCentre;
    /// Offset up to which the instance has read the log; -1 when it has read nothing.
    log_offset covered {-1};
    configuration_version version;
    /// The whole answer, from which lists of members, endpoints and quota are shown as they are.
    nlohmann::json whole;
};

outcome<instance_status> decodeInstanceStatus(std::string_view text);

} // namespace burdockshelf
