#pragma once

#include "load/run_report.h"
#include "load/scenario.h"

#include "core/outcome.h"
#include "runtime/event_loop.h"
#include "site/site.h"

namespace burdockshelf
{

/// The two sides of a comparison: the product as it is, and the baseline with simple strategies.
enum class run_side
{
    product,
    baseline,
};

/// Runs a scenario once on a deployment of its own and reports the measures.
class scenario_run
{
public:
    scenario_run(event_loop &loop, scenario what, run_side side, std::uint64_t seed);

    outcome<nlohmann::json> run();

private:
    outcome<prefill_count> countPrefills(site &deployment);

    event_loop &m_loop;
    scenario m_scenario;
    run_side m_side;
    std::uint64_t m_seed;
};

} // namespace burdockshelf
