#include "forwarding/utilisation_score.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

constexpr double tieBreakRange = 0.02;
// The mean latency, divided by this one and limited to 1.0, increases the utilisation in the score of a plain call by that fraction: an
// endpoint that is ten times slower scores as if it were used twice as much. An idle endpoint is not affected, however slow it is.
constexpr double latencyScaleSeconds = 0.2;
// A wait of this length counts as much as the load of a fully used endpoint.
constexpr double prefillWaitScaleSeconds = 0.35;

} // namespace

double utilisation_score::score(const placement_inputs &inputs) const
{
    switch (inputs.attemptKind) {
    case attempt_kind::prefill:
        return std::max(inputs.utilisation, inputs.prefillWait.count() / prefillWaitScaleSeconds);
    case attempt_kind::plain_call:
        return inputs.utilisation + std::min(inputs.meanLatency.count() / latencyScaleSeconds, 1.0) * inputs.utilisation;
    case attempt_kind::reserve:
    case attempt_kind::decode:
        break;
    }
    return inputs.utilisation;
}

double utilisation_score::randomTerm(std::size_t /*candidates*/, random_source &random) const
{
    return random.uniform() * tieBreakRange;
}

} // namespace burdockshelf
