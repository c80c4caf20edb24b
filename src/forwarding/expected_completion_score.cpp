#include "forwarding/expected_completion_score.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

// Taken from the comparison in docs/design/uneven-endpoints.md: with less, instances with equal reports choose the same endpoints.
constexpr double defaultRandomRange = 0.1;
// An expected time of this fraction of the latency target counts as much as the load of a fully used endpoint.
constexpr double targetFraction = 0.35;
// Usual time to the response as a fraction of the target while it is not known.
constexpr double assumedResponseFraction = 0.2;
// Latency target of a service that no route uses.
constexpr std::chrono::duration<double> defaultTarget {1.0};

} // namespace

expected_completion_score::expected_completion_score()
    : expected_completion_score(defaultRandomRange)
{
}

expected_completion_score::expected_completion_score(double randomRange)
    : m_randomRange(randomRange)
{
}

double expected_completion_score::score(const placement_inputs &inputs) const
{
    const auto target = inputs.target > inputs.target.zero() ? inputs.target : defaultTarget;
    const double scale = target.count() * targetFraction;
    if (inputs.attemptKind == attempt_kind::prefill) {
        return inputs.utilisation + (inputs.prefillWait + inputs.prefillTime).count() / scale;
    }
    const double usual =
        inputs.usualResponse > inputs.usualResponse.zero() ? inputs.usualResponse.count() : target.count() * assumedResponseFraction;
    return inputs.utilisation + usual * inputs.slowdown * (1.0 + inputs.utilisation) / scale;
}

double expected_completion_score::randomRange() const
{
    return m_randomRange;
}

} // namespace burdockshelf
