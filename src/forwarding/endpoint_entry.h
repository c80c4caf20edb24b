#pragma once

#include "core/deadline.h"
#include "core/ids.h"
#include "core/socket_address.h"
#include "core/units.h"

#include <optional>

namespace burdockshelf
{

/// What an engine of a split service does at the moment.
enum class engine_stage
{
    prefill,
    decode,
};

/// Start time of an endpoint in Unix milliseconds, as the endpoint says it. Tells a restart under the same id.
using endpoint_start_time = quantity<struct endpoint_birth_unit>;

/// An endpoint as it has registered itself.
struct endpoint_entry
{
    endpoint_id id;
    service_id service;
    socket_address address;
    data_centre_id dataCentre;
    slot_count slots;
    bool isDraining = false;
    /// How much longer the endpoint is cold, counted from the entry.
    std::chrono::milliseconds coldRemaining {};
    /// Not set for plain services.
    std::optional<engine_stage> stage;
    endpoint_start_time startTime;
};

/// Load that an endpoint reports about itself with an answer.
struct endpoint_load
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t slots = 0;
};

} // namespace burdockshelf
