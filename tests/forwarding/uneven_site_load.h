#pragma once

#include "forwarding/expected_completion_score.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace burdockshelf
{

/// How the instances of a simulated site place requests.
struct uneven_site_strategy
{
    /// The endpoints report how long work takes.
    bool isReporting = true;
    expected_completion_score::sampling preferred;
    /// The instances tell each other what they have seen.
    bool isShared = true;
    std::uint64_t seed = 11;
};

/// What a simulated site consists of, and what is asked of it.
struct uneven_site_load
{
    std::size_t instances = 64;
    std::size_t endpoints = 30;
    std::int64_t slots = 10;
    std::size_t dataCentres = 1;
    double requestsPerSecond = 1500.0;
    /// Mean time that a request takes at an idle endpoint.
    double serviceSeconds = 0.1;
    double targetSeconds = 0.3;
    double seconds = 15.0;
    /// Requests before this time are not counted.
    double warmUpSeconds = 5.0;
    /// Every so many endpoints one is slow by a factor of 3; none if 0.
    std::size_t slowEvery = 0;
    /// Part of the time that an endpoint is disturbed, for 600 ms at a time and by a factor of 4.
    double disturbedShare = 0.0;
    /// The load of a data centre varies by this part of its mean, in opposite phases.
    double swing = 0.0;
    /// The figure that an endpoint reports in place of the true one, by its number.
    std::map<std::size_t, std::int64_t> falseFigures;
};

struct uneven_site_result
{
    double lateShare = 0.0;
    double meanSeconds = 0.0;
    double remoteShare = 0.0;
    /// The most requests that were at one endpoint at a time, relative to its slots.
    double peakUse = 0.0;
    /// Requests of the busiest endpoint relative to the mean.
    double busiest = 0.0;
    std::vector<std::int64_t> requestsAt;
};

} // namespace burdockshelf
