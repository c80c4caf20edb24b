#include "cost/idle_study.h"

#include "cost/least_squares.h"
#include "cost/process_usage.h"
#include "site/site.h"

#include <array>

#include <boost/outcome/try.hpp>

namespace burdockshelf
{

namespace
{

using namespace std::chrono_literals;
using json = nlohmann::json;

constexpr auto servingLimit = 60s;
/// The roster, quota loans and the connections settle before the count begins.
constexpr auto settlingTime = 3s;
constexpr auto countedTime = 8s;

json slopesOf(const json &points, const char *value)
{
    std::vector<sample> samples;
    for (const json &point : points) {
        samples.push_back({{point["members"], point["endpoints"], point["workspaces"]}, point[value]});
    }
    const std::vector<double> fitted = fitSlopes(samples);
    if (fitted.empty()) {
        return json();
    }
    return {{"at_zero", fitted[0]}, {"per_member", fitted[1]}, {"per_endpoint", fitted[2]}, {"per_workspace", fitted[3]}};
}

} // namespace

idle_study::idle_study(event_loop &loop)
    : m_loop(loop)
{
}

outcome<json> idle_study::run()
{
    constexpr std::array sizes = {deployment_size {2, 4, 2},
                                  deployment_size {4, 4, 2},
                                  deployment_size {8, 4, 2},
                                  deployment_size {2, 12, 2},
                                  deployment_size {2, 24, 2},
                                  deployment_size {2, 4, 20},
                                  deployment_size {2, 4, 60}};
    json points = json::array();
    for (const deployment_size &size : sizes) {
        BOOST_OUTCOME_TRY(point, measure(size));
        points.push_back(point);
    }
    return json {{"points", points},
                 {"bytes_per_s", slopesOf(points, "bytes_per_s")},
                 {"processor_share", slopesOf(points, "processor_share")},
                 {"resident_bytes", slopesOf(points, "resident_bytes")}};
}

outcome<json> idle_study::measure(const deployment_size &size)
{
    site_plan plan;
    plan.dataCentres = {{"north", size.members, 1, size.endpoints - 2, 1}};
    plan.engineArguments = {"--warm"};
    // The daemon's default; deployments of the bench otherwise read the list more often to start sooner.
    plan.settingsMembers = {R"("instance_list_interval_ms":2000)"};
    for (int i = 1; i <= size.workspaces; ++i) {
        plan.workspaces.push_back({"workspace-" + std::to_string(i), 20000, 40000});
    }
    site deployment(m_loop, plan);
    BOOST_OUTCOME_TRYV(deployment.start());
    BOOST_OUTCOME_TRYV(deployment.waitUntilServing(servingLimit));
    deployment.pause(settlingTime);
    const pid_t daemon = deployment.instances().front().process.pid();
    BOOST_OUTCOME_TRY(before, readUsage(daemon));
    const instant begin = boot_clock::now();
    deployment.pause(countedTime);
    BOOST_OUTCOME_TRY(after, readUsage(daemon));
    const double seconds = std::chrono::duration<double>(boot_clock::now() - begin).count();
    return json {{"members", size.members},
                 {"endpoints", size.endpoints},
                 {"workspaces", size.workspaces},
                 {"bytes_per_s", static_cast<double>((after.moved - before.moved).value()) / seconds},
                 {"processor_share", std::chrono::duration<double>(after.processor - before.processor).count() / seconds},
                 {"resident_bytes", after.resident.value()}};
}

} // namespace burdockshelf
