#pragma once

#include "forwarding/placement_score.h"

namespace burdockshelf
{

/// Places by the share of an endpoint that is used. For services whose endpoints do not report how long work takes.
class utilisation_score : public placement_score
{
public:
    double score(const placement_inputs &inputs) const override;
    double randomTerm(std::size_t candidates, random_source &random) const override;
};

} // namespace burdockshelf
