#pragma once

#include "forwarding/endpoint_table.h"

#include <chrono>

namespace burdockshelf
{

// How long an endpoint may keep silent before it counts as failed, for requests that may go elsewhere.

/// Until the first byte of an answer. The reader is the endpoint that reads the prompt, null for other duties or when it has left.
std::chrono::milliseconds firstResponseTimeout(attempt_kind attemptKind,
                                               const traffic_route &route,
                                               const endpoint_table &endpoints,
                                               const endpoint_state *reader,
                                               token_count tokens,
                                               instant now);

/// Between two pieces of a stream, and behind its head.
std::chrono::milliseconds nextPieceTime();

/// A reader that has answered others since the prompt was sent is busy, not gone, and is waited for up to this time.
std::chrono::milliseconds longestReadTime();

} // namespace burdockshelf
