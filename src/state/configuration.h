#pragma once

#include "core/ids.h"
#include "core/socket_address.h"
#include "core/units.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>

namespace burdockshelf
{

/// Quota of a workspace, over all data centres.
struct workspace_settings
{
    token_rate rate;
    token_count burst;
    /// Weights by which rate and burst are divided among the data centres; a data centre without an entry has weight 1.
    std::map<data_centre_id, int> shareWeights;

    friend bool operator==(const workspace_settings &, const workspace_settings &) = default;
};

enum class service_kind
{
    /// A language model on prefill and decode endpoints.
    model,
    /// A plain HTTP service.
    plain,
};

struct service_settings
{
    service_kind kind = service_kind::model;
    /// Requests whose path starts with this prefix are routed to the service. Empty for models, which are selected by the request's "model"
    /// field.
    std::string pathPrefix;
    /// False when a call must be executed at most once.
    bool isRetryable = true;
    /// True when requests need no API key.
    bool isAnonymousAllowed = false;
    urgency_class_id defaultUrgency;
    /// Lower bound of prompt bytes per token; estimates the prompt tokens that are charged before the request is executed.
    std::int64_t promptBytesPerToken = 2;
    /// Limit on output tokens when the request sets none.
    token_count defaultMaxTokens {256};
    /// Tokens charged for a call to a plain service.
    token_count callCost {1};

    friend bool operator==(const service_settings &, const service_settings &) = default;
};

enum class endpoint_role
{
    prefill,
    decode,
    plain,
};

struct endpoint_settings
{
    service_id service;
    data_centre_id dataCentre;
    endpoint_role role = endpoint_role::plain;
    socket_address address;
    slot_count slots {20};
    /// True when the endpoint rejects orders with an outdated fencing token.
    bool checksFencing = false;

    friend bool operator==(const endpoint_settings &, const endpoint_settings &) = default;
};

struct urgency_class_settings
{
    /// Smaller values are more urgent.
    int priority = 0;
    std::chrono::milliseconds firstTokenTarget {1200};
    std::chrono::milliseconds betweenTokensTarget {28};
    /// Longest time in the admission queue; a request that cannot be dispatched within it is shed.
    std::chrono::milliseconds maxQueueTime {10000};

    friend bool operator==(const urgency_class_settings &, const urgency_class_settings &) = default;
};

struct data_centre_settings
{
    region_id region;

    friend bool operator==(const data_centre_settings &, const data_centre_settings &) = default;
};

/// One version of the operators' configuration. A plain value; configuration_task owns the version in force.
struct configuration
{
    configuration_version version;
    std::map<data_centre_id, data_centre_settings> dataCentres;
    std::map<workspace_id, workspace_settings> workspaces;
    std::map<service_id, service_settings> services;
    std::map<endpoint_id, endpoint_settings> endpoints;
    std::map<urgency_class_id, urgency_class_settings> urgencyClasses;

    friend bool operator==(const configuration &, const configuration &) = default;
};

} // namespace burdockshelf
