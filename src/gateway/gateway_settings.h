#pragma once

#include "core/ids.h"
#include "core/outcome.h"
#include "core/socket_address.h"
#include "core/units.h"
#include "forwarding/endpoint_table.h"
#include "forwarding/service_retry_budget.h"
#include "forwarding/workspace_shares.h"

#include <chrono>
#include <optional>
#include <string>

namespace burdockshelf
{

/// Settings of a gateway, read from a JSON file and validated completely at startup. The names of the JSON members state the units of
/// durations. The deployment's bounds have defaults for deployments that do not state them.
struct gateway_settings
{
    instance_id instance;
    data_centre_id dataCentre;
    socket_address callerAddress;
    socket_address readinessAddress;
    socket_address metricsAddress;
    socket_address storeAddress;
    /// Address on which other instances reach this one.
    socket_address peerAddress;
    /// Time from SIGTERM until the process is killed.
    std::chrono::milliseconds gracePeriod {8000};
    /// Maximum time from the store's acknowledgement of a configuration change until the change is in force.
    std::chrono::milliseconds maxConfigurationDelay {2000};
    /// Maximum time in which an instance has to notice that its connections have gone silent.
    std::chrono::milliseconds silenceDetectionLimit {3000};
    /// Maximum time from the store's acknowledgement that an endpoint leaves until the endpoint gets no more requests.
    std::chrono::milliseconds maxDrainDelay {2000};
    cold_start_tolerance cold;
    /// Paces endpoints that have started or recovered also in services that do not report their work time.
    bool pacesAllServices = false;
    retry_limits retryBudget = {10, 0};
    quota_tolerance quotas;
    /// Number of partitions of the quota pool; must be the same on all instances.
    std::int64_t quotaPartitions = 12;
    /// Minimum time between the last order of one holder of the stage control and the first order of the next holder.
    std::chrono::milliseconds minHandoverInterval {3000};
    /// Memory of the machine and the descriptors that the process may open; what is held for callers is bounded by them.
    byte_count memory {88LL * 1024 * 1024};
    std::int64_t maxDescriptors = 4096;
    /// Largest part of a service's requests that a version which is being rolled out may get before it is trusted. Rollouts are neither
    /// followed nor reported without it.
    std::optional<double> exposeShare;
    /// Percentage of a service's engines that should run prefill; 0 disables stage changes.
    std::int64_t prefillPercent = 0;
};

/// Reads and validates a settings file. Errors name the file, the JSON pointer, the value found and the values allowed.
outcome<gateway_settings> loadGatewaySettings(const std::string &path);
outcome<gateway_settings> parseGatewaySettings(std::string_view text);

} // namespace burdockshelf
