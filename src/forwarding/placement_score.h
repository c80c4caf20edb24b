#pragma once

#include "core/random_source.h"
#include "forwarding/attempt_kind.h"

#include <chrono>
#include <cstddef>

namespace burdockshelf
{

/// State of one endpoint that a placement decision depends on.
struct placement_inputs
{
    attempt_kind attemptKind = attempt_kind::plain_call;
    /// Used share of the endpoint's slots, or of its memory with this request if that is more.
    double utilisation = 0.0;
    /// Mean time of the endpoint's responses.
    std::chrono::duration<double> meanLatency {};
    /// Factor for how long work takes there; 1.0 is as usual.
    double slowdown = 1.0;
    /// How long a prompt waits there until it is processed, and how long that takes; zero unless a prefill is placed.
    std::chrono::duration<double> prefillWait {};
    std::chrono::duration<double> prefillTime {};
    /// Usual time to the first byte or event at the service's endpoints; zero if not known.
    std::chrono::duration<double> usualResponse {};
    /// Latency target of the service.
    std::chrono::duration<double> target {};
};

/// Strategy that scores the work at an endpoint for the placement of an attempt; the lowest score is the best. 1.0 is the load of a fully
/// used endpoint. Failures, restrictions and data centres are scored by endpoint_table.
class placement_score
{
public:
    virtual ~placement_score() = default;

    virtual double score(const placement_inputs &inputs) const = 0;
    /// Random number that is added to the score of each of so many candidates, so that instances with equal knowledge choose different
    /// endpoints.
    virtual double randomTerm(std::size_t candidates, random_source &random) const = 0;
};

} // namespace burdockshelf
