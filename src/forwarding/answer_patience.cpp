#include "forwarding/answer_patience.h"

#include <algorithm>
#include <array>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds leastPlainTime {120};
constexpr milliseconds reserveTime {250};
constexpr milliseconds leastReadTime {350};
constexpr milliseconds mostReadTime {2500};
// For a reader whose speed is not known yet.
constexpr milliseconds unknownReadTime {1000};
// A reader may take this many times as long as estimated.
constexpr double readPatience = 2.0;
constexpr milliseconds decodeTime {1100};

milliseconds readTime(const endpoint_table &endpoints, const endpoint_state *reader, token_count tokens, instant now)
{
    if (reader == nullptr) {
        return leastReadTime;
    }
    const endpoint_table::read_estimate estimate = endpoints.estimateRead(*reader, tokens, now);
    if (estimate.reading <= estimate.reading.zero()) {
        return unknownReadTime;
    }
    const auto expected = std::chrono::duration_cast<milliseconds>((estimate.wait + estimate.reading) * readPatience);
    return std::min(leastReadTime + expected, mostReadTime);
}

} // namespace

milliseconds firstResponseTimeout(attempt_kind attemptKind,
                                  const traffic_route &route,
                                  const endpoint_table &endpoints,
                                  const endpoint_state *reader,
                                  token_count tokens,
                                  instant now)
{
    switch (attemptKind) {
    case attempt_kind::plain_call:
        return std::max(route.target, leastPlainTime);
    case attempt_kind::reserve:
        return reserveTime;
    case attempt_kind::prefill:
        return readTime(endpoints, reader, tokens, now);
    case attempt_kind::decode:
        break;
    }
    return decodeTime;
}

milliseconds nextPieceTime()
{
    return decodeTime;
}

milliseconds longestReadTime()
{
    return mostReadTime;
}

} // namespace burdockshelf
