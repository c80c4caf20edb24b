#pragma once

#include "forwarding/forward_flow.h"

#include <memory>
#include <string>

namespace burdockshelf
{

/// A plan with a plain service, an engine service and a route of each kind, and endpoints for both services.
struct plan_fixture
{
    static constexpr const char *host = "h.example";

    std::shared_ptr<const plan_index> plan;
    endpoint_table endpoints {endpoint_table_settings {instance_id("i0"), data_centre_id("dc-a"), {1.5, 5}}};
    service_retry_budget retryBudget {retry_limits {100, 1000}};
    prompt_quarantine quarantine {instance_id("i0"), instant()};
    random_source random {7};
    capacity_sharing sharing;
    instant now {std::chrono::seconds(1000)};

    plan_fixture()
    {
        traffic_plan content;
        content.version = plan_version(1);
        content.services = {service("plain", false), service("engine", true)};
        content.routes = {
            route("safe", request_kind::idempotent, "plain", 2),
            route("unsafe", request_kind::non_idempotent, "plain", 2),
            route("stream", request_kind::streaming, "engine", 2),
            route("single", request_kind::streaming, "engine", 1),
            route("resumed", request_kind::streaming, "engine", 2),
        };
        content.routes.back().isResumable = true;
        plan = std::make_shared<const plan_index>(content);
        for (const char *name : {"p1", "p2", "p3"}) {
            put(name, "plain", std::nullopt);
        }
        for (const char *name : {"r1", "r2"}) {
            put(name, "engine", engine_stage::prefill);
        }
        for (const char *name : {"d1", "d2", "d3"}) {
            put(name, "engine", engine_stage::decode);
        }
    }

    void setInstances(int count)
    {
        std::vector<instance_id> names;
        names.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            names.emplace_back("i" + std::to_string(i));
        }
        endpoints.setInstances(std::move(names), now);
    }

    static traffic_service service(const std::string &name, bool isEngine)
    {
        traffic_service result;
        result.id = service_id(name);
        if (isEngine) {
            result.engine = engine_profile {slot_count(64), token_count(40000)};
        }
        return result;
    }

    static traffic_route route(const std::string &name, request_kind kind, const std::string &service, std::int64_t attempts)
    {
        traffic_route result;
        result.id = route_id(name);
        result.host = host;
        result.pathPrefix = "/" + name + "/";
        result.kind = kind;
        result.timeout = std::chrono::milliseconds(5000);
        result.target = std::chrono::milliseconds(100);
        result.maxAttempts = attempts;
        result.targets = {{service_id(service), 1}};
        return result;
    }

    static endpoint_entry entry(const std::string &name, const std::string &service, std::optional<engine_stage> stage)
    {
        endpoint_entry result;
        result.id = endpoint_id(name);
        result.service = service_id(service);
        result.version = service_version("v1");
        result.address = {"127.0.0.1", 1000};
        result.dataCentre = data_centre_id("dc-a");
        result.slots = slot_count(8);
        result.stage = stage;
        result.startTime = endpoint_start_time(10);
        return result;
    }

    void put(const std::string &name, const std::string &service, std::optional<engine_stage> stage, const std::string &version = "v1")
    {
        endpoint_entry fresh = entry(name, service, stage);
        fresh.version = service_version(version);
        endpoints.put(fresh, plan->findService(fresh.service), now);
    }

    flow_context context()
    {
        return {endpoints, retryBudget, quarantine, random, sharing};
    }

    forward_flow flow(const std::string &routeName, prompt_parts parts = {})
    {
        admitted_request request;
        request.facts.id = attempt_id("attempt");
        request.facts.callerDeadline = deadline::after(now, std::chrono::seconds(4));
        request.facts.promptTokens = token_count(1000);
        request.facts.outputTokenLimit = token_count(100);
        request.facts.parts = std::move(parts);
        request.plan = plan;
        request.route = plan->findRoute(host, "/" + routeName + "/x");
        request.arrived = now;
        return forward_flow(std::move(request));
    }
};

/// The first action of a type, or nullptr.
template<typename Action>
const Action *findAction(const flow_actions &actions)
{
    for (const flow_action &action : actions) {
        if (const auto *found = std::get_if<Action>(&action)) {
            return found;
        }
    }
    return nullptr;
}

} // namespace burdockshelf
