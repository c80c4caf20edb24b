#include "load/scenario_run.h"

#include "load/fault_schedule.h"
#include "load/open_loop_load.h"

#include <boost/outcome/try.hpp>

namespace burdockshelf
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto servingLimit = 60s;
constexpr auto endLimit = 30s;
/// Burst allowances and prefill results of the start-up requests are settled before the load begins.
constexpr auto settlingTime = 3s;

} // namespace

scenario_run::scenario_run(event_loop &loop, scenario what, run_side side, std::uint64_t seed)
    : m_loop(loop)
    , m_scenario(std::move(what))
    , m_side(side)
    , m_seed(seed)
{
    if (side == run_side::baseline) {
        m_scenario.deployment.settingsMembers.emplace_back(R"("router":{"placement":"random","queue_order":"arrival"})");
        m_scenario.deployment.settingsMembers.emplace_back(R"("quota_strategy":"static_split")");
    }
}

outcome<json> scenario_run::run()
{
    site deployment(m_loop, m_scenario.deployment);
    BOOST_OUTCOME_TRYV(deployment.start());
    BOOST_OUTCOME_TRYV(deployment.waitUntilServing(servingLimit));
    deployment.pause(settlingTime);
    BOOST_OUTCOME_TRY(before, countPrefills(deployment));
    open_loop_load load(m_loop, deployment, m_scenario.load, m_seed);
    fault_schedule faults(m_loop, deployment, load, m_scenario.faults);
    faults.start();
    const auto &records = load.run(endLimit);
    deployment.pause(settlingTime);
    BOOST_OUTCOME_TRY(after, countPrefills(deployment));
    const run_report report(m_scenario.load, records, {after.run - before.run, after.wasted - before.wasted});
    json line = report.toJson();
    line["scenario"] = m_scenario.name;
    line["side"] = m_side == run_side::product ? "product" : "baseline";
    line["seed"] = m_seed;
    line["problems"] = faults.problems();
    return line;
}

outcome<prefill_count> scenario_run::countPrefills(site &deployment)
{
    prefill_count sum;
    for (const site_endpoint &endpoint : deployment.endpoints()) {
        if (endpoint.role == "plain") {
            continue;
        }
        BOOST_OUTCOME_TRY(state, deployment.fetch(endpoint.address, "/control/state"));
        const json document = json::parse(state, nullptr, false);
        const json counts = document.is_object() ? document.value("counts", json::object()) : json::object();
        sum.run += counts.value("prefills", std::int64_t(0));
        sum.wasted += counts.value("wasted_prefills", std::int64_t(0));
    }
    return sum;
}

} // namespace burdockshelf
