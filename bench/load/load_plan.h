#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <chrono>
#include <cstdint>
#include <vector>

namespace burdockshelf
{

/// One kind of request of the mix.
struct traffic_shape
{
    /// Relative frequency.
    std::int64_t weight = 1;
    token_count prompt;
    token_count output;
    urgency_class_id urgency;
    std::chrono::milliseconds firstTokenWithin {0};
    std::chrono::milliseconds betweenTokensWithin {0};
};

struct workspace_load
{
    workspace_id workspace;
    std::int64_t requestsPerMinute = 0;
    /// False for the workspace that sends more than it bought.
    bool isWellBehaved = true;
};

/// What an open-loop run offers.
struct load_plan
{
    std::chrono::milliseconds duration {0};
    std::vector<traffic_shape> shapes;
    std::vector<workspace_load> workspaces;
};

} // namespace burdockshelf
