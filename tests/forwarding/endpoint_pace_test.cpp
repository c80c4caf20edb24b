#include "forwarding/adaptive_pace_rule.h"
#include "forwarding/endpoint_pace.h"
#include "forwarding/endpoint_table.h"

#include <CppUTest/TestHarness.h>

#include <vector>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const service_id service("plain");
const data_centre_id home("dc-a");
const data_centre_id remote("dc-b");

endpoint_entry entryOf(const std::string &name, const data_centre_id &dataCentre, std::int64_t startTime = 10)
{
    endpoint_entry entry;
    entry.id = endpoint_id(name);
    entry.service = service;
    entry.address = {"127.0.0.1", 1000};
    entry.dataCentre = dataCentre;
    entry.slots = slot_count(6);
    entry.startTime = endpoint_start_time(startTime);
    return entry;
}

struct paced_table
{
    explicit paced_table(bool pacesAllServices = true)
        : endpoints({instance_id("i0"), home, {1.5, 5}, pacesAllServices})
    {
        constexpr int instanceCount = 64;
        std::vector<instance_id> instances;
        instances.reserve(instanceCount);
        for (int i = 0; i < instanceCount; ++i) {
            instances.emplace_back("i" + std::to_string(i));
        }
        endpoints.setInstances(instances, now);
    }

    void serve(const std::string &name, health_verdict verdict, const endpoint_load &load, boot_clock::duration time = 50ms)
    {
        const endpoint_id endpoint(name);
        const instant sentAt = now;
        endpoints.noteSent(endpoint, {}, sentAt);
        now += time;
        endpoints.noteLoad(endpoint, load, now);
        endpoints.noteEnded(endpoint, {}, sentAt, false, verdict, now);
    }

    const endpoint_state *choose()
    {
        return endpoints.choose(service, attempt_kind::plain_call, {}, {}, nullptr, now, random);
    }

    endpoint_table endpoints;
    random_source random {7};
    instant now {1000s};
};

constexpr endpoint_load usualLoad = {2, 0, 6, 100};
constexpr pace_observation goodResponse = {pace_evidence::good, 1.0, std::nullopt, false};
constexpr pace_observation failedResponse = {pace_evidence::failed, 1.0, std::nullopt, false};

} // namespace

TEST_GROUP(endpoint_pace)
{
    paced_table table;
    instant now {1000s};
};

// Guards against an endpoint that is ready at once and left idle for the time of a fixed ramp.
TEST(endpoint_pace, endsSoonForAFastStarter)
{
    adaptive_pace_rule rule;
    rule.begin(8.0, false, now);
    CHECK_FALSE(rule.isReached(now));
    for (int response = 0; response < 4; ++response) {
        now += 50ms;
        rule.note(goodResponse, now);
    }
    CHECK_TRUE(rule.isReached(now));
}

// Guards against a small endpoint that gets one request of each instance at once, and against instances that never get their turn. The
// endpoint does not respond, so nothing but the shares limits the requests.
TEST(endpoint_pace, spreadsTheFirstRequestsOfAnyNumberOfInstances)
{
    for (const int instances : {1, 7, 64, 295}) {
        const pace_surroundings surroundings = {instances, 2.0, 50ms};
        std::vector<endpoint_pace> paces(static_cast<std::size_t>(instances));
        std::vector<std::int64_t> sent(paces.size(), 0);
        for (std::size_t i = 0; i < paces.size(); ++i) {
            paces[i].begin(pace_cause::started, surroundings, static_cast<double>(i) / instances, now);
        }
        int inFirstSecond = 0;
        for (instant at = now; at < now + 20s; at += 10ms) {
            for (std::size_t i = 0; i < paces.size(); ++i) {
                if (paces[i].hasAllowance(surroundings, sent[i], at)) {
                    paces[i].noteSent(1.0);
                    ++sent[i];
                    inFirstSecond += at < now + 1s ? 1 : 0;
                }
            }
        }
        // Half a request at once, each for 50 ms, is 10 requests in the first second.
        CHECK(inFirstSecond <= 14);
        for (const std::int64_t count : sent) {
            LONGS_EQUAL(1, count);
        }
    }
}

// Guards against a slow starter that is flooded: its limit must stay below its reduced capacity however many responses succeed.
TEST(endpoint_pace, keepsTheLimitOfASlowStarterLow)
{
    adaptive_pace_rule rule;
    rule.begin(8.0, false, now);
    pace_observation slow = goodResponse;
    slow.slowness = 4.0;
    for (int response = 0; response < 40; ++response) {
        now += 200ms;
        rule.note(slow, now);
        CHECK(rule.limitAt(now) <= 2.0);
    }
    // It becomes fast.
    for (int response = 0; response < 4; ++response) {
        now += 200ms;
        rule.note(goodResponse, now);
    }
    CHECK_TRUE(rule.isReached(now));
}

// Guards against an endpoint that fails at every increase and costs ever more requests.
TEST(endpoint_pace, keepsAnEndpointThatFailsAtEveryIncreaseAtALowPace)
{
    adaptive_pace_rule rule;
    rule.begin(8.0, false, now);
    int failures = 0;
    for (const instant end = now + 60s; now < end; now += 100ms) {
        const bool isTooMuch = rule.limitAt(now) > 2.0;
        rule.note(isTooMuch ? failedResponse : goodResponse, now);
        failures += isTooMuch ? 1 : 0;
        CHECK_FALSE(rule.isReached(now));
    }
    CHECK(failures >= 3);
    CHECK(failures <= 8);
    // The hold outlasts the end of the pace.
    rule.begin(8.0, true, now);
    rule.note(goodResponse, now + 1s);
    DOUBLES_EQUAL(1.0, rule.limitAt(now + 1s), 0.01);
}

// Guards against pacing where neither the service nor the settings ask for it, and before the service has had traffic.
TEST(endpoint_pace, isUsedOnlyWhereAsked)
{
    for (const bool reportsWorkTime : {false, true}) {
        paced_table plain(false);
        plain.endpoints.put(entryOf("p1", home), nullptr, plain.now);
        LONGS_EQUAL(0, plain.endpoints.pacedEndpoints());
        endpoint_load load = usualLoad;
        load.workTimePercent = reportsWorkTime ? load.workTimePercent : std::nullopt;
        plain.serve("p1", health_verdict::good, load);
        plain.endpoints.put(entryOf("p2", home), nullptr, plain.now);
        LONGS_EQUAL(reportsWorkTime ? 1 : 0, plain.endpoints.pacedEndpoints());
    }
}

// Engines are protected by their reservations. Guards against engines that stay at a low pace because an instance hears from each of them
// too rarely.
TEST(endpoint_pace, leavesEnginesToTheirReservations)
{
    paced_table table;
    for (const char *name : {"e1", "e2"}) {
        endpoint_entry engine = entryOf(name, home);
        engine.stage = engine_stage::decode;
        table.endpoints.put(engine, nullptr, table.now);
        LONGS_EQUAL(0, table.endpoints.pacedEndpoints());
        table.serve(name, health_verdict::good, {1, 0, 6, 100});
    }
}

// Guards against an endpoint whose neighbours disturb it for a moment being taken for one that has just started.
TEST(endpoint_pace, doesNotPaceADisturbedEndpoint)
{
    table.endpoints.put(entryOf("p1", home), nullptr, table.now);
    for (int response = 0; response < 20; ++response) {
        table.serve("p1", health_verdict::good, usualLoad);
    }
    for (int response = 0; response < 5; ++response) {
        table.serve("p1", health_verdict::good, {6, 10, 6, 800}, 400ms);
    }
    LONGS_EQUAL(0, table.endpoints.pacedEndpoints());
    CHECK(table.choose() != nullptr);
}

// Guards against a flood of an endpoint that answers again after it has failed, and against pacing one that other instances keep busy.
TEST(endpoint_pace, pacesARecoveredEndpointUnlessItIsBusy)
{
    for (const bool isBusy : {false, true}) {
        paced_table one;
        one.endpoints.put(entryOf("p1", home), nullptr, one.now);
        one.serve("p1", health_verdict::good, usualLoad);
        one.serve("p1", health_verdict::failed, usualLoad);
        one.serve("p1", health_verdict::failed, usualLoad);
        one.now += 3s;
        one.serve("p1", health_verdict::good, isBusy ? usualLoad : endpoint_load {0, 0, 6, 100});
        LONGS_EQUAL(isBusy ? 0 : 1, one.endpoints.pacedEndpoints());
    }
}

// Guards against a service without endpoints while hundreds of them recover at once, and against a flood of those that refuse.
TEST(endpoint_pace, servesWhileAllEndpointsRecover)
{
    for (int i = 0; i < 300; ++i) {
        table.endpoints.put(entryOf("p" + std::to_string(i), home), nullptr, table.now);
    }
    table.serve("p0", health_verdict::good, usualLoad);
    table.endpoints.setEvacuated({home});
    CHECK(table.choose() == nullptr);
    table.now += 5s;
    table.endpoints.setEvacuated({});
    for (int request = 0; request < 300; ++request) {
        const endpoint_state *chosen = table.choose();
        CHECK(chosen != nullptr);
        table.serve(chosen->entry.id.value(), health_verdict::refused, {6, 24, 6, 100}, 1ms);
    }
    CHECK(table.choose() == nullptr);
}

// Guards against an endpoint that is never tried because the others look better.
TEST(endpoint_pace, probesAnEndpointWithoutTraffic)
{
    table.endpoints.put(entryOf("p1", home), nullptr, table.now);
    table.serve("p1", health_verdict::good, usualLoad);
    table.endpoints.put(entryOf("far", remote), nullptr, table.now);
    bool isProbed = false;
    for (int request = 0; request < 100 && !isProbed; ++request) {
        table.now += 100ms;
        const endpoint_state *chosen = table.choose();
        isProbed = chosen->entry.id == endpoint_id("far");
    }
    CHECK_TRUE(isProbed);
}

// Guards against the flood that follows when a data centre is reachable again, and against pacing it after two failures in a row by chance.
TEST(endpoint_pace, pacesADataCentreAfterAnOutage)
{
    for (const auto outage : {100ms, 3000ms}) {
        paced_table one;
        for (const char *name : {"p1", "p2", "p3"}) {
            one.endpoints.put(entryOf(name, remote), nullptr, one.now);
        }
        one.serve("p1", health_verdict::good, usualLoad);
        one.serve("p1", health_verdict::failed, usualLoad, 1ms);
        one.serve("p2", health_verdict::failed, usualLoad, 1ms);
        one.now += outage;
        one.serve("p3", health_verdict::good, {0, 0, 6, 100});
        one.choose();
        CHECK_EQUAL(outage >= 1s, one.endpoints.pacedEndpoints() == 3);
    }
}

// Guards against a last resort that exceeds what a cold endpoint bears.
TEST(endpoint_pace, keepsTheBoundOfColdEndpoints)
{
    traffic_service profile;
    profile.id = service;
    profile.coldRequestsPerSecond = 1.0;
    table.endpoints.put(entryOf("p1", home), &profile, table.now);
    table.serve("p1", health_verdict::good, usualLoad);
    endpoint_entry cold = entryOf("p1", home, 20);
    cold.coldRemaining = 60s;
    table.endpoints.put(cold, &profile, table.now);
    LONGS_EQUAL(1, table.endpoints.pacedEndpoints());
    int sent = 0;
    for (const instant end = table.now + 10s; table.now < end; table.now += 10ms) {
        const endpoint_state *chosen = table.choose();
        if (chosen != nullptr && table.endpoints.takeColdStartToken(chosen->entry.id, table.now)) {
            table.serve("p1", health_verdict::good, {0, 0, 6, 100}, 1ms);
            ++sent;
        }
    }
    // A rate of one per second among up to five instances.
    CHECK(sent <= 11);
}

// Guards against a pace that has no effect on the choice: an idle starter looks better than its loaded peers to all instances.
TEST(endpoint_pace, leavesOutAStarterWhoseShareIsUsedUp)
{
    table.endpoints.put(entryOf("p1", home), nullptr, table.now);
    table.serve("p1", health_verdict::good, {5, 0, 6, 100});
    table.endpoints.put(entryOf("p2", home), nullptr, table.now);
    int atStarter = 0;
    for (int request = 0; request < 400; ++request) {
        const endpoint_state *chosen = table.choose();
        if (chosen->entry.id == endpoint_id("p2")) {
            // It does not respond.
            table.endpoints.noteSent(chosen->entry.id, {}, table.now);
            ++atStarter;
        } else {
            table.serve("p1", health_verdict::good, {5, 0, 6, 100});
        }
    }
    LONGS_EQUAL(1, atStarter);
    LONGS_EQUAL(1, table.endpoints.pacedEndpoints());
    const endpoint_pace_log::content steps = table.endpoints.takePaceChanges();
    CHECK(steps.changes.front().step == pace_step::begun);
}

// Guards against instances that together flood a small endpoint while it is slow after its start, or leave it idle once it is fast,
// although each keeps to its own estimate.
TEST(endpoint_pace, neitherFloodsNorStarvesAStarterOfManyInstances)
{
    struct call
    {
        std::size_t instance;
        endpoint_id endpoint;
        instant sentAt;
        instant endsAt;
    };

    for (const std::size_t count : {64, 295}) {
        std::vector<paced_table> fleet(count);
        std::vector<instance_id> names;
        names.reserve(count);
        for (std::size_t i = 0; i < count; ++i) {
            names.emplace_back("i" + std::to_string(i));
        }
        for (std::size_t i = 0; i < count; ++i) {
            fleet[i].endpoints = endpoint_table({names[i], home, {1.5, 5}, true});
            fleet[i].endpoints.setInstances(names, now);
            fleet[i].endpoints.put(entryOf("p1", home), nullptr, now);
            fleet[i].serve("p1", health_verdict::good, usualLoad);
            fleet[i].endpoints.put(entryOf("p2", home), nullptr, now);
        }
        random_source random(7);
        std::vector<call> calls;
        int atStarterInTheEnd = 0;
        const instant begin = now + 1s;
        for (instant at = begin; at < begin + 40s; at += 10ms) {
            std::int64_t present = 0;
            std::erase_if(calls, [&](const call &one) {
                if (one.endsAt > at) {
                    present += one.endpoint == endpoint_id("p2") ? 1 : 0;
                    return false;
                }
                endpoint_table &table = fleet[one.instance].endpoints;
                table.noteLoad(one.endpoint, {present + 1, 0, 6, 100}, at);
                table.noteEnded(one.endpoint, {}, one.sentAt, false, health_verdict::good, at);
                return true;
            });
            // 100 requests a second.
            paced_table &sender = fleet[random.below(count)];
            sender.now = at;
            const endpoint_state *chosen = sender.choose();
            CHECK(chosen != nullptr);
            const bool isStarter = chosen->entry.id == endpoint_id("p2");
            const auto time = isStarter && at < begin + 10s ? 400ms : 50ms;
            calls.push_back({static_cast<std::size_t>(&sender - fleet.data()), chosen->entry.id, at, at + time});
            sender.endpoints.noteSent(chosen->entry.id, {}, at);
            CHECK(present <= 18);
            atStarterInTheEnd += isStarter && at >= begin + 30s ? 1 : 0;
        }
        // Half of 1000 requests is its part.
        CHECK(atStarterInTheEnd >= 250);
    }
}
