// Placement on simulated sites with uneven endpoints, each against the rule for services that do not report how long work takes.

#include "forwarding/uneven_site.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;

namespace
{

uneven_site_result runSite(const uneven_site_load &load, uneven_site_strategy strategy = {})
{
    return uneven_site(load, strategy).run();
}

uneven_site_strategy byUtilisation()
{
    uneven_site_strategy strategy;
    strategy.isReporting = false;
    strategy.isShared = false;
    return strategy;
}

} // namespace

TEST_GROUP(uneven_endpoints)
{
    uneven_site_load load;
};

// Slow endpoints that get as many requests as the others make a third of the responses late.
TEST(uneven_endpoints, aThirdConsistentlySlow)
{
    load.slowEvery = 3;
    load.requestsPerSecond = 800.0;
    CHECK(runSite(load).lateShare < 0.85 * runSite(load, byUtilisation()).lateShare);
}

// Near the capacity, expected times must not be made equal at all endpoints, which would make nearly all responses late.
TEST(uneven_endpoints, aThirdSlowNearTheCapacity)
{
    load.slowEvery = 3;
    load.requestsPerSecond = 2200.0;
    CHECK(runSite(load).lateShare < runSite(load, byUtilisation()).lateShare);
}

// Where each instance has a response of an engine about once in a minute, only what the others have seen tells which are slow.
TEST(uneven_endpoints, aThirdSlowAndFewRequestsPerInstance)
{
    load.instances = 83;
    load.endpoints = 90;
    load.slots = 24;
    load.requestsPerSecond = 73.0;
    load.serviceSeconds = 0.3;
    load.targetSeconds = 0.8;
    load.seconds = 60.0;
    load.warmUpSeconds = 25.0;
    load.slowEvery = 3;
    CHECK(runSite(load).lateShare < 0.3 * runSite(load, byUtilisation()).lateShare);
}

// A noisy neighbour of 600 ms must neither be ignored nor make the placement worse than without reports.
TEST(uneven_endpoints, fifteenInAHundredDisturbed)
{
    load.disturbedShare = 0.15;
    CHECK(runSite(load).lateShare < runSite(load, byUtilisation()).lateShare);
}

// A figure that is far too low must not draw requests to an endpoint, nor one far too high upset the others.
TEST(uneven_endpoints, aFalseFigure)
{
    load.slowEvery = 3;
    load.requestsPerSecond = 800.0;
    load.falseFigures = {{1, 10}, {2, 10'000}, {3, 10}};
    const uneven_site_result result = runSite(load);
    CHECK(result.lateShare < runSite(load, byUtilisation()).lateShare);
    CHECK(result.busiest < 2.5);
}

// Instances that see the same reports must not all send to the endpoint that looks best, which would build queues in turn.
TEST(uneven_endpoints, sixtyFourInstancesWithTheSameReports)
{
    load.disturbedShare = 0.15;
    load.slowEvery = 3;
    load.requestsPerSecond = 1000.0;
    const uneven_site_result result = runSite(load);
    const uneven_site_result before = runSite(load, byUtilisation());
    CHECK(result.peakUse <= before.peakUse);
    CHECK(result.busiest < 2.0);
}

// A data centre at its peak must get help from the other one, and requests must stay at home while there is no need.
TEST(uneven_endpoints, dataCentresThatPeakAtDifferentTimes)
{
    load.dataCentres = 2;
    load.requestsPerSecond = 2000.0;
    load.seconds = 25.0;
    CHECK(runSite(load).remoteShare < 0.1);
    load.swing = 0.8;
    const uneven_site_result peaks = runSite(load);
    CHECK(peaks.remoteShare > 0.05);
    CHECK(peaks.lateShare < 0.05);
}
