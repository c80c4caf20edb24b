#pragma once

#include "core/deadline.h"

#include <optional>
#include <string_view>

namespace burdockshelf
{

/// What the end of a request says about an endpoint that is paced.
enum class pace_evidence
{
    good,
    refused,
    failed,
};

std::string_view paceEvidenceName(pace_evidence evidence);

/// An answer of a paced endpoint.
struct pace_observation
{
    pace_evidence evidence = pace_evidence::good;
    /// How long the work took relative to the usual time of the service.
    double slowness = 1.0;
    /// Requests of all instances at the endpoint according to its newest report, and whether some of them waited.
    std::optional<double> reportedRequests;
    bool hasQueue = false;
};

/// Estimates how many requests of all instances together a paced endpoint bears. Each instance estimates this by itself.
class pace_rule
{
public:
    pace_rule() = default;
    virtual ~pace_rule() = default;
    pace_rule(const pace_rule &) = delete;
    pace_rule &operator=(const pace_rule &) = delete;

    /// Starts over for an endpoint that usually has the given number of requests at once. A relapse is a new pace soon after the last one.
    virtual void begin(double usualRequests, bool isRelapse, instant now) = 0;
    virtual void note(const pace_observation &observation, instant now) = 0;
    virtual double limitAt(instant now) const = 0;
    /// The endpoint bears what is usual for its service.
    virtual bool isReached(instant now) const = 0;
};

} // namespace burdockshelf
