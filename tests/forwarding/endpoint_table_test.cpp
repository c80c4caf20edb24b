#include "forwarding/plan_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const endpoint_state *choosePlain(plan_fixture &fixture, const std::vector<endpoint_id> &excluded = {})
{
    return fixture.endpoints.choose(service_id("plain"),
                                    attempt_kind::plain_call,
                                    {},
                                    excluded,
                                    fixture.plan->findService(service_id("plain")),
                                    fixture.now,
                                    fixture.random);
}

const endpoint_state *choosePrefillEndpoint(plan_fixture &fixture)
{
    return fixture.endpoints.choose(service_id("engine"),
                                    attempt_kind::prefill,
                                    token_count(1000),
                                    {},
                                    fixture.plan->findService(service_id("engine")),
                                    fixture.now,
                                    fixture.random);
}

} // namespace

TEST_GROUP(endpoint_table)
{
    plan_fixture fixture;
};

// A stale record that is read again must not replace an endpoint by its earlier process, whose address may belong to another endpoint by
// now.
TEST(endpoint_table, ignoresStaleEntriesOfRestartedEndpoints)
{
    endpoint_entry restarted = plan_fixture::entry("p1", "plain", std::nullopt);
    restarted.startTime = endpoint_start_time(20);
    restarted.address.port = 2000;
    CHECK_TRUE(fixture.endpoints.put(restarted, nullptr, fixture.now));
    CHECK_FALSE(fixture.endpoints.put(plan_fixture::entry("p1", "plain", std::nullopt), nullptr, fixture.now));
    LONGS_EQUAL(2000, fixture.endpoints.find(endpoint_id("p1"))->entry.address.port);
}

TEST(endpoint_table, excludesDrainingEndpointsAndEvacuatedDataCentres)
{
    endpoint_entry draining = plan_fixture::entry("p1", "plain", std::nullopt);
    draining.isDraining = true;
    fixture.endpoints.put(draining, nullptr, fixture.now);
    CHECK_FALSE(fixture.endpoints.mayReceive(endpoint_id("p1"), fixture.now));
    for (int round = 0; round < 20; ++round) {
        CHECK(choosePlain(fixture)->entry.id != endpoint_id("p1"));
    }
    fixture.endpoints.setEvacuated({data_centre_id("dc-a")});
    CHECK(choosePlain(fixture) == nullptr);
    fixture.endpoints.setEvacuated({});
    CHECK(choosePlain(fixture) != nullptr);
}

// The address belongs to another endpoint, which would refuse every further request.
TEST(endpoint_table, excludesMisdirectedEndpoints)
{
    fixture.endpoints.noteMisdirected(endpoint_id("p1"));
    CHECK_FALSE(fixture.endpoints.mayReceive(endpoint_id("p1"), fixture.now));
}

// All instances together must not send more to a cold endpoint than it bears.
TEST(endpoint_table, limitsRequestsToItsShareOfAColdEndpoint)
{
    traffic_service service = plan_fixture::service("cold", false);
    service.coldRequestsPerSecond = 16.0;
    fixture.setInstances(8);
    endpoint_entry cold = plan_fixture::entry("c1", "cold", std::nullopt);
    cold.coldRemaining = 3s;
    fixture.endpoints.put(cold, &service, fixture.now);
    int taken = 0;
    for (int step = 0; step < 100; ++step) {
        taken += fixture.endpoints.takeColdStartToken(endpoint_id("c1"), fixture.now) ? 1 : 0;
        fixture.now += 10ms;
    }
    CHECK(taken >= 2);
    CHECK(taken <= 3);
    fixture.now += 3s;
    CHECK_TRUE(fixture.endpoints.takeColdStartToken(endpoint_id("c1"), fixture.now));
}

// Each of many instances may send one request immediately; together they could send a cold endpoint more than it bears in a second.
TEST(endpoint_table, limitsTheLoadOfColdEndpointsForAnyNumberOfInstances)
{
    traffic_service service = plan_fixture::service("cold", false);
    service.coldRequestsPerSecond = 15.0;
    constexpr cold_start_tolerance tolerance = {1.5, 5};
    for (const std::size_t instances : {1, 2, 8, 12, 13, 65, 300}) {
        std::vector<instance_id> names;
        for (std::size_t i = 0; i < instances; ++i) {
            names.emplace_back("edge-" + std::to_string(i));
        }
        for (const char *name : {"c1", "c2", "c3"}) {
            endpoint_entry cold = plan_fixture::entry(name, "cold", std::nullopt);
            cold.coldRemaining = 3s;
            int taken = 0;
            for (const instance_id &self : names) {
                endpoint_table table({self, data_centre_id("dc-a"), tolerance});
                table.setInstances(names, fixture.now);
                table.put(cold, &service, fixture.now);
                for (auto after = 0ms; after < 1000ms; after += 10ms) {
                    taken += table.takeColdStartToken(cold.id, fixture.now + after) ? 1 : 0;
                }
            }
            CHECK(taken <= service.coldRequestsPerSecond * tolerance.rateFactor + static_cast<double>(tolerance.fixedAllowance));
            // The cold endpoint must not be left idle either.
            CHECK(taken >= 12);
        }
    }
}

TEST(endpoint_table, avoidsFailingEndpointsUnlessThereIsNoOther)
{
    for (int failure = 0; failure < 2; ++failure) {
        fixture.endpoints.noteSent(endpoint_id("p1"), {}, fixture.now);
        fixture.endpoints.noteEnded(endpoint_id("p1"), {}, fixture.now, false, health_verdict::failed, fixture.now);
    }
    for (int round = 0; round < 20; ++round) {
        CHECK(choosePlain(fixture)->entry.id != endpoint_id("p1"));
    }
    // A failing endpoint is better than none: a refusal while endpoints exist fails the caller for certain.
    CHECK(choosePlain(fixture, {endpoint_id("p2"), endpoint_id("p3")})->entry.id == endpoint_id("p1"));
}

// While a data centre is unreachable, each of its endpoints would cost a request its connection timeout.
TEST(endpoint_table, avoidsUnreachableDataCentres)
{
    for (const char *name : {"q1", "q2", "q3", "q4"}) {
        endpoint_entry remote = plan_fixture::entry(name, "plain", std::nullopt);
        remote.dataCentre = data_centre_id("dc-b");
        fixture.endpoints.put(remote, nullptr, fixture.now);
    }
    const std::vector<endpoint_id> ownEndpoints = {endpoint_id("p1"), endpoint_id("p2")};
    for (const char *name : {"q1", "q2"}) {
        fixture.endpoints.noteSent(endpoint_id(name), {}, fixture.now);
        fixture.endpoints.noteEnded(endpoint_id(name), {}, fixture.now, false, health_verdict::unreachable, fixture.now);
    }
    // The last endpoint of the own data centre is loaded far above its slots, and is still better than an unreachable one.
    for (int request = 0; request < 30; ++request) {
        fixture.endpoints.noteSent(endpoint_id("p3"), {}, fixture.now);
    }
    CHECK(choosePlain(fixture, ownEndpoints)->entry.id == endpoint_id("p3"));
    fixture.now += 200ms;
    fixture.endpoints.noteSent(endpoint_id("q3"), {}, fixture.now);
    fixture.endpoints.noteEnded(endpoint_id("q3"), {}, fixture.now, true, health_verdict::good, fixture.now);
    CHECK(choosePlain(fixture, ownEndpoints)->entry.id != endpoint_id("p3"));
}

// A hanging endpoint reports no failure, so a missing response has to count against it.
TEST(endpoint_table, avoidsEndpointsWithOverdueResponses)
{
    fixture.endpoints.noteSent(endpoint_id("p1"), {}, fixture.now);
    fixture.now += 1s;
    for (int round = 0; round < 20; ++round) {
        CHECK(choosePlain(fixture)->entry.id != endpoint_id("p1"));
    }
}

// Load reports do not contain how many prompts of other instances are queued at a prefill endpoint; without the measured delay all
// instances would keep sending to the one that is behind.
TEST(endpoint_table, avoidsPrefillEndpointsThatAreBehind)
{
    const token_count prompt(1000);
    const auto recordPrefill = [&](const char *prefillEndpoint, std::chrono::milliseconds took) {
        fixture.endpoints.noteSent(endpoint_id(prefillEndpoint), prompt, fixture.now - took);
        fixture.endpoints.noteEnded(endpoint_id(prefillEndpoint), prompt, fixture.now - took, false, health_verdict::good, fixture.now);
    };
    recordPrefill("r2", 30ms);
    recordPrefill("r1", 600ms);
    fixture.endpoints.noteSent(endpoint_id("r2"), prompt, fixture.now);
    for (int round = 0; round < 20; ++round) {
        CHECK(choosePrefillEndpoint(fixture)->entry.id == endpoint_id("r2"));
    }
    // The queue of an endpoint that gets no requests shrinks.
    fixture.now += 5s;
    CHECK(choosePrefillEndpoint(fixture)->entry.id == endpoint_id("r1"));
}

// While a failed endpoint hangs, every request sent to it would wait for its timeout.
TEST(endpoint_table, probesFailedEndpointsWithOneRequestAtATime)
{
    for (int failure = 0; failure < 2; ++failure) {
        fixture.endpoints.noteSent(endpoint_id("p1"), {}, fixture.now);
        fixture.endpoints.noteEnded(endpoint_id("p1"), {}, fixture.now, false, health_verdict::failed, fixture.now);
    }
    for (const char *loaded : {"p2", "p3"}) {
        for (int request = 0; request < 16; ++request) {
            fixture.endpoints.noteSent(endpoint_id(loaded), {}, fixture.now);
            fixture.endpoints.noteResponse(endpoint_id(loaded), fixture.now, fixture.now);
        }
    }
    fixture.now += 3s;
    CHECK(choosePlain(fixture)->entry.id == endpoint_id("p1"));
    fixture.endpoints.noteSent(endpoint_id("p1"), {}, fixture.now);
    CHECK(choosePlain(fixture)->entry.id != endpoint_id("p1"));
    fixture.endpoints.noteEnded(endpoint_id("p1"), {}, fixture.now, false, health_verdict::good, fixture.now);
    CHECK(choosePlain(fixture)->entry.id == endpoint_id("p1"));
}
