#pragma once

#include "core/ids.h"
#include "core/random_source.h"
#include "core/units.h"

#include <chrono>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdockshelf
{

using route_id = strong_id<struct route_tag>;
/// Version of the traffic plan as the operator numbers it; 0 means that none is in force. Versions rise with gaps.
using plan_version = quantity<struct plan_version_unit>;

/// What may be repeated of a route's requests.
enum class request_kind
{
    /// May run more than once.
    idempotent,
    /// Runs at most once.
    non_idempotent,
    /// Answered by events; runs at most once unless the route is resumable.
    streaming,
};

/// A service that takes a share of a route's requests.
struct route_target
{
    service_id service;
    std::int64_t weight = 1;
};

struct traffic_route
{
    route_id id;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    request_kind kind = request_kind::non_idempotent;
    /// Longest time that a caller may be kept waiting.
    std::chrono::milliseconds timeout {};
    /// Time within which an answer is worth its full value.
    std::chrono::milliseconds target {};
    /// 0 is the most urgent.
    std::int64_t priority = 0;
    std::vector<route_target> targets;
    /// Most endpoints to which one request may be sent.
    std::int64_t maxAttempts = 1;
    /// Needs no key.
    bool isOpen = false;
    /// A broken stream may go on at another endpoint.
    bool isResumable = false;
};

/// What all engines of a service have in common.
struct engine_profile
{
    slot_count slots;
    token_count memory;
};

struct traffic_service
{
    service_id id;
    /// Connections that one endpoint accepts from all callers together.
    std::int64_t maxConnections = 0;
    /// Requests per second that a cold endpoint bears, over all instances; 0 when the service has no cold phase.
    double coldRequestsPerSecond = 0.0;
    /// How long an endpoint is cold after a start.
    std::chrono::milliseconds coldDuration {};
    /// Set for services with separate prefill and decode pools.
    std::optional<engine_profile> engine;
};

/// What callers may send and how long they may take.
struct caller_limits
{
    byte_count head {16 * 1024};
    byte_count body {4 * 1024 * 1024};
    std::chrono::milliseconds headTimeout {3000};
    std::chrono::milliseconds idleTimeout {15000};
};

struct workspace_plan
{
    workspace_id id;
    std::vector<std::string> keys;
    /// Goes before the route's priority.
    std::optional<std::int64_t> priority;
    /// Cost units per second and burst, over all instances; a rate of 0 means no limit.
    double ratePerSecond = 0.0;
    double burst = 0.0;
    /// True when requests cost their tokens, false when each costs one.
    bool countsTokens = false;
    /// Cost of a request that says nothing of its tokens.
    std::int64_t defaultCost = 1;
};

/// The operator's configuration as the forwarding decisions use it.
struct traffic_plan
{
    plan_version version;
    std::vector<traffic_route> routes;
    std::vector<traffic_service> services;
    caller_limits limits;
    std::vector<workspace_plan> workspaces;
};

/// One of the route's services, by weight; empty when the route has none.
service_id drawService(const traffic_route &route, random_source &random);

/// A traffic plan with the indexes that requests need. Immutable; requests keep the one under which they were admitted.
class plan_index
{
public:
    explicit plan_index(traffic_plan plan);

    const traffic_plan &plan() const;
    /// The route of the host with the longest prefix of the path; nullptr when there is none.
    const traffic_route *findRoute(std::string_view host, std::string_view path) const;
    const traffic_service *findService(const service_id &service) const;
    /// The workspace that holds a key; nullptr for an unknown key.
    const workspace_plan *findWorkspaceOfKey(std::string_view key) const;
    bool requiresKeys() const;

private:
    traffic_plan m_plan;
    std::unordered_map<std::string, std::vector<const traffic_route *>> m_routesByHost;
    std::unordered_map<std::string, const workspace_plan *> m_workspaceByKey;
    std::unordered_map<service_id, const traffic_service *> m_services;
};

} // namespace burdockshelf
