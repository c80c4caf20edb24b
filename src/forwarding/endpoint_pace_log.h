#pragma once

#include "core/ids.h"
#include "forwarding/endpoint_pace.h"

#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

namespace burdockshelf
{

enum class pace_step
{
    begun,
    grown,
    reduced,
    ended,
};

std::string_view paceStepName(pace_step step);

/// A step of an endpoint's pace, for the log.
struct pace_change
{
    endpoint_id endpoint;
    pace_step step = pace_step::begun;
    pace_cause cause = pace_cause::started;
    /// Requests of all instances together that the endpoint is believed to bear.
    double limit = 0.0;
    /// The response that led to the step; empty when time alone did.
    std::optional<pace_observation> observed;
};

/// The steps of paced endpoints since they were last taken, limited in number. Those beyond the limit are only counted.
class endpoint_pace_log
{
public:
    struct content
    {
        std::vector<pace_change> changes;
        std::size_t leftOut = 0;
    };

    void add(pace_change change);
    content take();

private:
    content m_content;
};

} // namespace burdockshelf
