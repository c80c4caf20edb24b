#pragma once

#include "core/ids.h"
#include "core/outcome.h"
#include "core/socket_address.h"
#include "forwarding/endpoint_table.h"
#include "forwarding/service_retry_budget.h"
#include "forwarding/workspace_shares.h"

#include <chrono>
#include <string>

namespace burdockshelf
{

/// Settings of a gateway, JSON, checked whole at the start. Durations are in milliseconds.
struct gateway_settings
{
    instance_id instance;
    data_centre_id dataCentre;
    socket_address callerAddress;
    socket_address readinessAddress;
    socket_address metricsAddress;
    socket_address storeAddress;
    /// Where other instances reach this one.
    socket_address peerAddress;
    /// From SIGTERM until the process is ended by force.
    std::chrono::milliseconds grace {8000};
    /// A change of the operator must be in force within this time of the store's acknowledgement.
    std::chrono::milliseconds configurationWithin {2000};
    /// An instance whose connections have gone silent must notice it within this time.
    std::chrono::milliseconds silenceWithin {3000};
    /// An endpoint must get nothing more within this time of the store's acknowledgement that it leaves.
    std::chrono::milliseconds drainWithin {2000};
    cold_start_tolerance cold;
    retry_limits retryBudget;
    quota_tolerance quotas;
    /// Parts into which the quotas' pool is dealt; the same at all instances.
    std::int64_t quotaPartitions = 12;
    /// Two holders of the duty to order engines must not take turns within this time.
    std::chrono::milliseconds dutyTurn {3000};
    /// The part of a service's engines that should read prompts, in percent; 0 leaves the engines as they are.
    std::int64_t prefillPercent = 0;
};

/// Reads and checks a settings file. The error names the file, the JSON pointer, what was found and what is allowed.
outcome<gateway_settings> loadGatewaySettings(const std::string &path);
outcome<gateway_settings> parseGatewaySettings(std::string_view text);

} // namespace burdockshelf
