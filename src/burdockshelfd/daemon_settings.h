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

/// Everything that one instance is started with; read once from its settings file.
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
    /// Longest time for a graceful shutdown; what is left then is cut.
    std::chrono::milliseconds shutdownTimeout {std::chrono::minutes(5)};
};

/// Reads settings. Every member but instance, data_centre, platform and listen has a default. The error names the JSON pointer, what was
/// found and what is allowed.
outcome<daemon_settings> decodeSettings(std::string_view text);

/// Reads a settings file; errors start with the file's name.
outcome<daemon_settings> loadSettings(const std::string &file);

} // namespace burdockshelf
