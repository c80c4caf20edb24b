#pragma once

#include "core/deadline.h"
#include "core/ids.h"
#include "core/socket_address.h"
#include "core/units.h"

#include <compare>
#include <optional>

namespace burdockshelf
{

/// The stage that an engine of a service with separate prefill and decode pools is in.
enum class engine_stage
{
    prefill,
    decode,
};

/// Start time of an endpoint in Unix milliseconds, as reported by the endpoint. Distinguishes a restarted endpoint from the earlier process
/// with the same id.
using endpoint_start_time = quantity<struct endpoint_birth_unit>;

/// One process of an endpoint. Equal values denote the same process; an endpoint that starts again under its id has another start time.
struct endpoint_process
{
    endpoint_id id;
    endpoint_start_time startTime;

    friend auto operator<=>(const endpoint_process &, const endpoint_process &) = default;
};

/// An endpoint's registration.
struct endpoint_entry
{
    endpoint_id id;
    service_id service;
    /// The release that the endpoint runs; empty if its entry names none.
    service_version version;
    socket_address address;
    data_centre_id dataCentre;
    slot_count slots;
    bool isDraining = false;
    /// How long the endpoint stays cold, counted from the time at which the entry was written.
    std::chrono::milliseconds coldRemaining {};
    /// Unset for endpoints of plain services.
    std::optional<engine_stage> stage;
    endpoint_start_time startTime;
};

/// Load that an endpoint reports in its responses.
struct endpoint_load
{
    std::int64_t running = 0;
    std::int64_t waiting = 0;
    std::int64_t slots = 0;
    /// How long work takes on the endpoint's machine at this moment; 100 is as usual.
    std::optional<std::int64_t> workTimePercent;
};

} // namespace burdockshelf
