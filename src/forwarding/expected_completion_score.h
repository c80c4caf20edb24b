#pragma once

#include "forwarding/placement_score.h"

namespace burdockshelf
{

/// Places by the time until the first response, relative to the latency target: the work that is there and this request, multiplied by how
/// long work takes at the endpoint. For services whose endpoints report the latter.
class expected_completion_score : public placement_score
{
public:
    /// A random sample of the candidates is preferred.
    struct sampling
    {
        /// Mean number of candidates in the sample.
        double size = 3.0;
        /// Added to the scores of the others, so that one of them is chosen only if it is better by as much.
        double othersPenalty = 0.1;
    };

    expected_completion_score();
    explicit expected_completion_score(sampling preferred);

    double score(const placement_inputs &inputs) const override;
    double randomTerm(std::size_t candidates, random_source &random) const override;

private:
    sampling m_preferred;
};

} // namespace burdockshelf
