#include "forwarding/refusal_policy.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// The block of a failed endpoint is partly over by then, and the caller's own deadline is still far off.
constexpr milliseconds overloadWait {120};
constexpr milliseconds noEndpointWait {300};
// Bursts last for seconds, and a request that is retried for lack of capacity misses its target anyway; so it is retried when the burst is
// likely to be over.
constexpr milliseconds noCapacityWait {3000};
// A caller that returns before capacity is free spends its only retry, so the estimate is not trusted below the first time. The spread
// keeps callers that were refused together from returning together.
constexpr milliseconds minCapacityWait {1000};
constexpr double capacityWaitSpread = 0.5;
// Callers ignore a later time than a third of what they have left. The rest of the third covers the way to the caller.
constexpr double returnFractionOfTimeLeft = 0.3;
constexpr milliseconds notReadyWait {250};
constexpr milliseconds shutdownWait {50};
// After a pause, callers return within this fraction of what was left of the pause, within the limits. The most urgent ones return in the
// first half of that time.
constexpr double returnSpreadFraction = 0.5;
constexpr milliseconds minReturnSpread {100};
constexpr milliseconds maxReturnSpread {1500};

milliseconds waitForPause(const refusal_facts &facts, instant now)
{
    const auto remaining = std::chrono::ceil<milliseconds>(facts.endpoints.pauseEnds.remaining(now));
    const auto fraction = std::chrono::duration_cast<milliseconds>(remaining * returnSpreadFraction);
    const milliseconds half = std::clamp(fraction, minReturnSpread, maxReturnSpread) / 2;
    const auto offset = std::chrono::duration_cast<milliseconds>(half * facts.jitter);
    return remaining + offset + (facts.priority > 0 ? half : milliseconds::zero());
}

milliseconds waitForCapacity(const refusal_facts &facts, instant now)
{
    if (!facts.capacityWait) {
        return noCapacityWait;
    }
    const milliseconds expected = std::max(*facts.capacityWait, minCapacityWait);
    const auto spread = std::chrono::duration_cast<milliseconds>(expected * (capacityWaitSpread * facts.jitter));
    if (facts.callerDeadline.isNever()) {
        return std::min(expected + spread, noCapacityWait * 2);
    }
    const auto latest = std::chrono::duration_cast<milliseconds>(facts.callerDeadline.remaining(now) * returnFractionOfTimeLeft);
    return std::min(expected + spread, latest);
}

/// Whether the endpoints' own notices are the reason.
refusal_cause causeOf(const refusal_facts &facts)
{
    const bool lacksEndpoints = facts.cause == refusal_cause::no_endpoint || facts.cause == refusal_cause::overloaded;
    if (!lacksEndpoints || facts.endpoints.available > 0) {
        return facts.cause;
    }
    if (facts.endpoints.pausing > 0) {
        return refusal_cause::endpoints_pausing;
    }
    return facts.endpoints.leaving > 0 ? refusal_cause::endpoints_leaving : facts.cause;
}

} // namespace

refusal_decision decideRefusal(const refusal_facts &facts, instant now)
{
    const refusal_cause cause = causeOf(facts);
    switch (cause) {
    case refusal_cause::endpoints_pausing:
        return {cause, waitForPause(facts, now)};
    case refusal_cause::no_endpoint:
    case refusal_cause::endpoints_leaving:
        return {cause, noEndpointWait};
    case refusal_cause::overloaded:
        return {cause, facts.isCapacityExhausted ? waitForCapacity(facts, now) : overloadWait};
    case refusal_cause::stream_lookup_failed:
        return {cause, noEndpointWait};
    case refusal_cause::expired:
        return {cause, overloadWait};
    case refusal_cause::not_ready:
        return {cause, notReadyWait};
    case refusal_cause::shutting_down:
        return {cause, shutdownWait};
    case refusal_cause::over_quota:
        return {cause, facts.quotaWait};
    case refusal_cause::quarantined:
        return {cause, std::chrono::ceil<milliseconds>(facts.quarantineEnds.value_or(deadline()).remaining(now))};
    case refusal_cause::unknown_route:
    case refusal_cause::unknown_key:
    case refusal_cause::timed_out:
    case refusal_cause::endpoint_failed:
    case refusal_cause::suspected:
    case refusal_cause::stream_unknown:
    case refusal_cause::stream_version_gone:
        break;
    }
    return {cause, std::nullopt};
}

} // namespace burdockshelf
