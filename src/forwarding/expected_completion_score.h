#pragma once

#include "forwarding/placement_score.h"

namespace burdockshelf
{

/// Places by the time until the first response, relative to the latency target: the work that is there and this request, multiplied by how
/// long work takes at the endpoint. For services whose endpoints report the latter.
class expected_completion_score : public placement_score
{
public:
    expected_completion_score();
    explicit expected_completion_score(double randomRange);

    double score(const placement_inputs &inputs) const override;
    double randomRange() const override;

private:
    double m_randomRange;
};

} // namespace burdockshelf
