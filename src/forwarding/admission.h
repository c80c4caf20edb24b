#pragma once

#include "forwarding/forward_flow.h"
#include "forwarding/route_durations.h"

#include <chrono>
#include <memory>
#include <optional>

namespace burdockshelf
{

/// State of the instance that an admission decision depends on.
struct admission_inputs
{
    /// The traffic plan in force; null until the first one has been read.
    std::shared_ptr<const plan_index> plan;
    /// The plan, the endpoints and the evacuations have been read since the start of the process.
    bool hasInitialState = false;
    /// While shutting down, when the last response has to be complete; otherwise never.
    deadline finishBy = deadline::never();
    /// While shutting down, until when streams may be judged by how long they are expected to last.
    deadline estimateStreamsUntil;
    /// Durations of streams; null when none are known.
    const route_durations *durations = nullptr;
    /// Null when no prompts are refused.
    const prompt_quarantine *quarantine = nullptr;
};

/// The admitted request, or the cause of the refusal and when the caller should retry.
struct admission_decision
{
    std::optional<admitted_request> request;
    refusal_cause cause = refusal_cause::not_ready;
    std::optional<std::chrono::milliseconds> retryAfter;
    /// The part of the prompt for which the request is refused; empty for other causes.
    prompt_part_id quarantinedPart;
    /// The workspace whose quota is charged; null when none is.
    const workspace_plan *limited = nullptr;
    /// Cost of the request in the unit of the workspace's quota.
    double cost = 0.0;
    /// When the request is expected to have ended; during a shutdown this is not later than finishBy.
    deadline expectedEnd;
};

/// Decides whether a request that has just arrived is admitted. The workspace's quota is checked afterwards, so that a request
/// which is refused here is not charged.
admission_decision decideAdmission(const forward_facts &facts, instant arrived, const admission_inputs &inputs, instant now);

} // namespace burdockshelf
