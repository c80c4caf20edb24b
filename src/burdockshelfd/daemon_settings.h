#pragma once

#include "callers/caller_listener_task.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "core/socket_address.h"
#include "mesh/mesh_settings.h"
#include "policy/roster_authority.h"
#include "routing/router_settings.h"

#include <chrono>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// Settings of one instance, read once at start from its settings file.
struct daemon_settings
{
    instance_id instance;
    data_centre_id dataCentre;
    socket_address platform;
    socket_address operatorsListen;
    caller_listener_settings callers;
    socket_address meshListen;
    std::chrono::milliseconds heartbeatInterval {500};
    std::chrono::milliseconds heartbeatTimeout {1500};
    router_settings router;
    roster_settings roster;
    std::string quotaStrategy = "moving_shares";
    std::chrono::milliseconds idempotencyWindow {std::chrono::hours(24)};
    std::chrono::milliseconds logRetention {std::chrono::hours(24)};
    std::chrono::milliseconds instanceListInterval {2000};
    /// Maximum duration of a graceful shutdown. Requests that are still running then are aborted by the exit of the process.
    std::chrono::milliseconds shutdownTimeout {std::chrono::minutes(5)};
};

/// Parses settings from JSON. All members except instance, data_centre, platform and listen have defaults. The error message contains the
/// JSON pointer, the value found and the allowed values.
outcome<daemon_settings> decodeSettings(std::string_view text);

/// Loads a settings file. Error messages start with the file name.
outcome<daemon_settings> loadSettings(const std::string &file);

} // namespace burdockshelf
