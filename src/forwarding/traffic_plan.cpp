#include "forwarding/traffic_plan.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace burdockshelf
{

namespace
{

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return lower;
}

std::string hostWithoutPort(std::string_view host)
{
    const auto colon = host.rfind(':');
    return lowerCase(colon == std::string_view::npos ? host : host.substr(0, colon));
}

} // namespace

plan_index::plan_index(traffic_plan plan)
    : m_plan(std::move(plan))
{
    for (const traffic_route &route : m_plan.routes) {
        m_routesByHost[lowerCase(route.host)].push_back(&route);
        for (const route_target &target : route.targets) {
            m_prioritiesByService[target.service].insert(route.priority);
        }
    }
    for (auto &[host, routes] : m_routesByHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const traffic_route *left, const traffic_route *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
    for (const traffic_service &service : m_plan.services) {
        m_services.emplace(service.id, &service);
    }
    for (const workspace_plan &workspace : m_plan.workspaces) {
        for (const std::string &key : workspace.keys) {
            m_workspaceByKey.emplace(key, &workspace);
        }
    }
}

const traffic_plan &plan_index::plan() const
{
    return m_plan;
}

const traffic_route *plan_index::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_routesByHost.find(hostWithoutPort(host));
    if (found == m_routesByHost.end()) {
        return nullptr;
    }
    for (const traffic_route *route : found->second) {
        if (path.starts_with(route->pathPrefix)) {
            return route;
        }
    }
    return nullptr;
}

const traffic_service *plan_index::findService(const service_id &service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? nullptr : found->second;
}

std::optional<priority_rank> plan_index::rankOf(const service_id &service, std::int64_t priority) const
{
    const auto found = m_prioritiesByService.find(service);
    if (found == m_prioritiesByService.end() || found->second.size() < 2) {
        return std::nullopt;
    }
    return priority_rank(std::distance(found->second.begin(), found->second.lower_bound(priority)));
}

const workspace_plan *plan_index::findWorkspaceByKey(std::string_view key) const
{
    const auto found = m_workspaceByKey.find(std::string(key));
    return found == m_workspaceByKey.end() ? nullptr : found->second;
}

bool plan_index::requiresKeys() const
{
    return !m_plan.workspaces.empty();
}

service_id chooseService(const traffic_route &route, random_source &random)
{
    std::int64_t total = 0;
    for (const route_target &target : route.targets) {
        total += target.weight;
    }
    std::int64_t drawnWeight = total > 0 ? static_cast<std::int64_t>(random.below(static_cast<std::uint64_t>(total))) : 0;
    for (const route_target &target : route.targets) {
        if (drawnWeight < target.weight) {
            return target.service;
        }
        drawnWeight -= target.weight;
    }
    return route.targets.empty() ? service_id() : route.targets.front().service;
}

} // namespace burdockshelf
