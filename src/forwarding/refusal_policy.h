#pragma once

#include "forwarding/endpoint_availability.h"
#include "forwarding/flow_messages.h"

#include <chrono>
#include <optional>

namespace burdockshelf
{

/// What is known when a request cannot be served.
struct refusal_facts
{
    refusal_cause cause = refusal_cause::not_ready;
    /// The endpoints that could have served the request.
    service_availability endpoints;
    /// Endpoints were asked for capacity until the end of the search, and none had any.
    bool isCapacityExhausted = false;
    /// When capacity is expected; unset where all requests to a service have the same priority.
    std::optional<std::chrono::milliseconds> capacityWait;
    /// When the caller stops waiting; never if that is not known.
    deadline callerDeadline = deadline::never();
    /// When the quarantine of a part of the prompt ends; unset for other causes.
    std::optional<deadline> quarantineEnds;
    /// When the token bucket of the workspace covers the request; unset when no bucket refused it.
    std::optional<std::chrono::milliseconds> quotaWait;
    /// 0 is the most urgent.
    std::int64_t priority = 0;
    /// Random number in [0, 1) that spreads the callers who return after the same pause.
    double jitter = 0.0;
};

/// The cause that the caller is told, and when it should return. No time is set when a return is pointless.
struct refusal_decision
{
    refusal_cause cause = refusal_cause::not_ready;
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// Decides what a caller is told whose request ran nowhere. The only place that chooses when callers return.
refusal_decision decideRefusal(const refusal_facts &facts, instant now);

} // namespace burdockshelf
