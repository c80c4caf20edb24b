#include "forwarding/response_timeouts.h"

#include <algorithm>
#include <array>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds minPlainCallTimeout {120};
constexpr milliseconds reserveTimeout {250};
constexpr milliseconds minPrefillTimeout {350};
constexpr milliseconds maxPrefillTimeout {2500};
// Used while the service's time per prompt token is not known yet.
constexpr milliseconds unknownSpeedPrefillTimeout {1000};
// A prefill may take this many times as long as estimated.
constexpr double prefillTimeoutFactor = 2.0;
constexpr milliseconds decodeTimeout {1100};

milliseconds prefillTimeoutOf(const endpoint_table &endpoints, const endpoint_state *prefillEndpoint, token_count tokens, instant now)
{
    if (prefillEndpoint == nullptr) {
        return minPrefillTimeout;
    }
    const endpoint_table::prefill_estimate estimate = endpoints.estimatePrefill(*prefillEndpoint, tokens, now);
    if (estimate.processingTime <= estimate.processingTime.zero()) {
        return unknownSpeedPrefillTimeout;
    }
    const auto expected = std::chrono::duration_cast<milliseconds>((estimate.wait + estimate.processingTime) * prefillTimeoutFactor);
    return std::min(minPrefillTimeout + expected, maxPrefillTimeout);
}

} // namespace

milliseconds firstResponseTimeout(attempt_kind attemptKind,
                                  const traffic_route &route,
                                  const endpoint_table &endpoints,
                                  const endpoint_state *prefillEndpoint,
                                  token_count tokens,
                                  instant now)
{
    switch (attemptKind) {
    case attempt_kind::plain_call:
        return std::max(route.target, minPlainCallTimeout);
    case attempt_kind::reserve:
        return reserveTimeout;
    case attempt_kind::prefill:
        return prefillTimeoutOf(endpoints, prefillEndpoint, tokens, now);
    case attempt_kind::decode:
        break;
    }
    return decodeTimeout;
}

milliseconds streamIdleTimeout()
{
    return decodeTimeout;
}

milliseconds maxPrefillTime()
{
    return maxPrefillTimeout;
}

} // namespace burdockshelf
