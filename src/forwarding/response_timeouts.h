#pragma once

#include "forwarding/endpoint_table.h"

#include <chrono>

namespace burdockshelf
{

// Timeouts after which an endpoint that does not respond counts as failed, for requests that may be sent to another endpoint.

/// Timeout for the first byte of the response. prefillEndpoint is the endpoint of the attempt, or null when that endpoint has left. Only
/// the timeout of a prefill depends on it; for other kinds of attempts it is ignored.
std::chrono::milliseconds firstResponseTimeout(attempt_kind attemptKind,
                                               const traffic_route &route,
                                               const endpoint_table &endpoints,
                                               const endpoint_state *prefillEndpoint,
                                               token_count tokens,
                                               instant now);

/// Timeout between two parts of a stream's body, and between its head and the first part.
std::chrono::milliseconds streamIdleTimeout();

/// Longest wait for a prefill endpoint that has responded to other requests since the prompt was sent: such an endpoint is busy and has not
/// failed.
std::chrono::milliseconds maxPrefillTime();

} // namespace burdockshelf
