#include "forwarding/expected_completion_score.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

constexpr double tieBreakRange = 0.02;
// An expected time of this fraction of the latency target counts as much as the load of a fully used endpoint.
constexpr double targetFraction = 0.35;
// An expected time beyond the target counts by this fraction only: the response is late anyway, and the endpoints that can still be in time
// should not be filled up until they are as late.
constexpr double lateFraction = 0.1;
// Usual time to the response as a fraction of the target while it is not known.
constexpr double assumedResponseFraction = 0.2;
// Latency target of a service that no route uses.
constexpr std::chrono::duration<double> defaultTarget {1.0};

double scoreOf(std::chrono::duration<double> expected, std::chrono::duration<double> target)
{
    const auto late = std::max(expected - target, expected.zero());
    return (expected - late * (1.0 - lateFraction)) / (target * targetFraction);
}

} // namespace

expected_completion_score::expected_completion_score()
    : expected_completion_score(sampling())
{
}

expected_completion_score::expected_completion_score(sampling preferred)
    : m_preferred(preferred)
{
}

double expected_completion_score::score(const placement_inputs &inputs) const
{
    const auto target = inputs.target > inputs.target.zero() ? inputs.target : defaultTarget;
    if (inputs.attemptKind == attempt_kind::prefill) {
        return inputs.utilisation + scoreOf(inputs.prefillWait + inputs.prefillTime, target);
    }
    const auto usual = inputs.usualResponse > inputs.usualResponse.zero() ? inputs.usualResponse : target * assumedResponseFraction;
    return inputs.utilisation + scoreOf(usual * inputs.slowdown * (1.0 + inputs.utilisation), target);
}

double expected_completion_score::randomTerm(std::size_t candidates, random_source &random) const
{
    const double tieBreak = random.uniform() * tieBreakRange;
    const bool isPreferred = random.uniform() * static_cast<double>(candidates) < m_preferred.size;
    return tieBreak + (isPreferred ? 0.0 : m_preferred.othersPenalty);
}

} // namespace burdockshelf
