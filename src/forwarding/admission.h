#pragma once

#include "forwarding/forward_flow.h"

#include <chrono>
#include <memory>
#include <optional>

namespace burdockshelf
{

/// What an instance knows when it decides whether to take a request.
struct admission_inputs
{
    /// The plan in force; null before the first one has been read.
    std::shared_ptr<const plan_index> plan;
    /// What the decision needs has been read since the start.
    bool hasInitialState = false;
    /// Until when new streams and new calls are taken; never while the instance is not shutting down.
    deadline streamsUntil = deadline::never();
    deadline callsUntil = deadline::never();
};

/// The admitted request, or why it is refused and when a further try makes sense.
struct admission_decision
{
    std::optional<admitted_request> request;
    refusal_cause cause = refusal_cause::not_ready;
    std::optional<std::chrono::milliseconds> retryAfter;
    /// The workspace whose quota the request needs; null when none does.
    const workspace_plan *limited = nullptr;
    /// Cost of the request in the unit of the workspace's quota.
    double cost = 0.0;
};

/// Decides on a request that has just arrived, but for its workspace's quota.
admission_decision decideAdmission(const forward_facts &facts, instant arrived, const admission_inputs &inputs, instant now);

} // namespace burdockshelf
