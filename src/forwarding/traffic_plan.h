#pragma once

#include "core/ids.h"
#include "core/random_source.h"
#include "core/units.h"

#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdockshelf
{

using route_id = strong_id<struct route_tag>;
/// Version of the traffic plan as numbered by the operator, rising with gaps; 0 when none is in force.
using plan_version = quantity<struct plan_version_unit>;
/// Place of a priority among those of the routes to a service; 0 is the first priority.
using priority_rank = quantity<struct priority_rank_tag>;

/// Whether the requests of a route may be retried.
enum class request_kind
{
    /// May be executed more than once.
    idempotent,
    /// Is executed at most once.
    non_idempotent,
    /// Answered by a stream of events; executed at most once unless the route is resumable.
    streaming,
};

/// A service that gets a share of a route's requests.
struct route_target
{
    service_id service;
    std::int64_t weight = 1;
};

struct traffic_route
{
    route_id id;
    std::string host;
    /// Starts and ends with a slash.
    std::string pathPrefix;
    request_kind kind = request_kind::non_idempotent;
    /// Longest time that a caller may be kept waiting.
    std::chrono::milliseconds timeout {};
    /// Response time up to which a response has its full value.
    std::chrono::milliseconds target {};
    /// 0 is the most urgent.
    std::int64_t priority = 0;
    std::vector<route_target> targets;
    /// Maximum number of endpoints to which one request may be sent.
    std::int64_t maxAttempts = 1;
    /// Requests need no API key.
    bool isOpen = false;
    /// A broken stream may be resumed at another endpoint.
    bool isResumable = false;
};

/// Properties that all engines of a service share.
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
    /// Requests per second that a cold endpoint bears, over all instances; 0 when the service's endpoints need no warm-up.
    double coldRequestsPerSecond = 0.0;
    /// How long an endpoint stays cold after its start.
    std::chrono::milliseconds coldDuration {};
    /// Set for services with separate prefill and decode pools.
    std::optional<engine_profile> engine;
};

/// Limits on the size and duration of callers' requests.
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
    /// Overrides the route's priority.
    std::optional<std::int64_t> priority;
    /// Cost units per second and burst, over all instances; a rate of 0 means no limit.
    double ratePerSecond = 0.0;
    double burst = 0.0;
    /// True when a request costs its tokens, false when each request costs 1.
    bool countsTokens = false;
    /// Cost of a request whose tokens are not known.
    std::int64_t defaultCost = 1;
};

/// The part of the operator's configuration that forwarding decisions depend on.
struct traffic_plan
{
    plan_version version;
    std::vector<traffic_route> routes;
    std::vector<traffic_service> services;
    caller_limits limits;
    std::vector<workspace_plan> workspaces;
};

/// Draws one of the route's services at random, by weight; empty when the route has none.
service_id chooseService(const traffic_route &route, random_source &random);

/// A traffic plan with lookup indexes. Immutable; a request keeps the plan under which it was admitted.
class plan_index
{
public:
    explicit plan_index(traffic_plan plan);

    const traffic_plan &plan() const;
    /// The host's route with the longest prefix of the path; nullptr when none matches.
    const traffic_route *findRoute(std::string_view host, std::string_view path) const;
    const traffic_service *findService(const service_id &service) const;
    /// The rank of a priority at a service; unset when all routes to the service have the same priority.
    std::optional<priority_rank> rankOf(const service_id &service, std::int64_t priority) const;
    /// The workspace with this API key; nullptr when the key is unknown.
    const workspace_plan *findWorkspaceByKey(std::string_view key) const;
    bool requiresKeys() const;

private:
    traffic_plan m_plan;
    std::unordered_map<std::string, std::vector<const traffic_route *>> m_routesByHost;
    std::unordered_map<std::string, const workspace_plan *> m_workspaceByKey;
    std::unordered_map<service_id, const traffic_service *> m_services;
    std::unordered_map<service_id, std::set<std::int64_t>> m_prioritiesByService;
};

} // namespace burdockshelf
