#include "forwarding/admission.h"

#include "forwarding/refusal_policy.h"
#include "forwarding/workspace_shares.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

admission_decision refusal(const refusal_facts &facts, instant now)
{
    const refusal_decision decided = decideRefusal(facts, now);
    admission_decision refused;
    refused.cause = decided.cause;
    refused.retryAfter = decided.retryAfter;
    return refused;
}

// When the request is expected to have ended. Only the deadline that its route and its caller set is a bound. Routes allow streams much
// more than nearly all of them take, and while the load balancer still sends new connections here, to refuse every stream would cost
// callers more than the few that outlast the longest recent one and are visibly broken off. After that time a refused caller soon finds
// another instance.
deadline expectedEndOf(const forward_facts &facts, const traffic_route &route, instant arrived, const admission_inputs &inputs, instant now)
{
    const deadline allowed = allowedUntil(facts, route, arrived);
    const bool mayEstimate =
        route.kind == request_kind::streaming && inputs.durations != nullptr && !inputs.estimateStreamsUntil.hasPassed(now);
    const auto longest = mayEstimate ? inputs.durations->longest(route.id, now) : std::nullopt;
    return longest ? std::min(allowed, deadline::after(arrived, *longest)) : allowed;
}

} // namespace

admission_decision decideAdmission(const forward_facts &facts, instant arrived, const admission_inputs &inputs, instant now)
{
    if (!inputs.plan || !inputs.hasInitialState) {
        return refusal({refusal_cause::not_ready}, now);
    }
    const traffic_route *route = inputs.plan->findRoute(facts.host, facts.path);
    if (route == nullptr) {
        return refusal({refusal_cause::unknown_route}, now);
    }
    const workspace_plan *workspace = facts.key.empty() ? nullptr : inputs.plan->findWorkspaceByKey(facts.key);
    if (workspace == nullptr && inputs.plan->requiresKeys() && !route->isOpen) {
        return refusal({refusal_cause::unknown_key}, now);
    }
    if (inputs.quarantine != nullptr) {
        if (const quarantined_part *part = inputs.quarantine->find(facts.parts, now)) {
            refusal_facts quarantine;
            quarantine.cause = refusal_cause::quarantined;
            quarantine.quarantineEnds = part->until;
            admission_decision refused = refusal(quarantine, now);
            refused.quarantinedPart = part->part;
            return refused;
        }
    }
    // A request that may last longer than the shutdown's grace period is left to other instances, which can finish it.
    const deadline expectedEnd = expectedEndOf(facts, *route, arrived, inputs, now);
    if (inputs.finishBy < expectedEnd) {
        return refusal({refusal_cause::shutting_down}, now);
    }
    admission_decision decision;
    decision.expectedEnd = expectedEnd;
    admitted_request admitted;
    admitted.facts = facts;
    admitted.plan = inputs.plan;
    admitted.route = route;
    admitted.arrived = arrived;
    admitted.priority = route->priority;
    if (workspace != nullptr) {
        admitted.workspace = workspace->id;
        admitted.priority = workspace->priority.value_or(route->priority);
        decision.limited = workspace->ratePerSecond > 0.0 ? workspace : nullptr;
        decision.cost = workspace_shares::costOf(*workspace, facts.promptTokens, facts.outputTokenLimit);
    }
    decision.request = std::move(admitted);
    return decision;
}

} // namespace burdockshelf
