#include "forwarding/expected_completion_score.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

constexpr double tieBreakRange = 0.02;
// An expected time of this fraction of the latency target counts as much as the load of a fully used endpoint.
constexpr double targetFraction = 0.35;
// Usual time to the response as a fraction of the target while it is not known.
constexpr double assumedResponseFraction = 0.2;
// Latency target of a service that no route uses.
constexpr std::chrono::duration<double> defaultTarget {1.0};

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
    const double scale = target.count() * targetFraction;
    if (inputs.attemptKind == attempt_kind::prefill) {
        return inputs.utilisation + (inputs.prefillWait + inputs.prefillTime).count() / scale;
    }
    const double usual =
        inputs.usualResponse > inputs.usualResponse.zero() ? inputs.usualResponse.count() : target.count() * assumedResponseFraction;
    return inputs.utilisation + usual * inputs.slowdown * (1.0 + inputs.utilisation) / scale;
}

double expected_completion_score::randomTerm(std::size_t candidates, random_source &random) const
{
    const double tieBreak = random.uniform() * tieBreakRange;
    const bool isPreferred = random.uniform() * static_cast<double>(candidates) < m_preferred.size;
    return tieBreak + (isPreferred ? 0.0 : m_preferred.othersPenalty);
}

} // namespace burdockshelf
