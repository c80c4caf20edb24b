#pragma once

#include "load/fault_schedule.h"
#include "load/load_plan.h"

#include "core/outcome.h"
#include "site/site_plan.h"

#include <string>
#include <vector>

namespace burdockshelf
{

/// What a scenario file says: the deployment, the load and the faults.
struct scenario
{
    std::string name;
    site_plan deployment;
    /// Factor of all engine times, in hundredths.
    std::int64_t timeScaleHundredths = 100;
    load_plan load;
    std::vector<planned_fault> faults;
};

outcome<scenario> readScenario(const std::string &file);

} // namespace burdockshelf
