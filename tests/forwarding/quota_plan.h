#pragma once

#include "forwarding/traffic_plan.h"

namespace burdockshelf
{

/// A plan with one workspace "w" whose quota is counted in tokens.
inline traffic_plan quotaPlan(double ratePerSecond, double burst)
{
    workspace_plan workspace;
    workspace.id = workspace_id("w");
    workspace.ratePerSecond = ratePerSecond;
    workspace.burst = burst;
    workspace.countsTokens = true;
    traffic_plan plan;
    plan.workspaces = {workspace};
    return plan;
}

} // namespace burdockshelf
