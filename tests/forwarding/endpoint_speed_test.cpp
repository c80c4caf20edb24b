#include "forwarding/endpoint_speed.h"
#include "forwarding/plan_fixture.h"
#include "forwarding/spill_over.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(endpoint_speed)
{
    instant now {1000s};
    endpoint_speed speed;

    void report(std::int64_t percent, int times, std::chrono::milliseconds interval)
    {
        for (int i = 0; i < times; ++i) {
            speed.noteReported(percent, now);
            now += interval;
        }
    }
};

// A disturbance of 600 ms, however often it is reported, must not mark an endpoint as slow, and must be forgotten soon after the last
// report.
TEST(endpoint_speed, distinguishesADisturbanceFromASlowEndpoint)
{
    report(100, 4, 800ms);
    report(400, 60, 10ms);
    CHECK(speed.classify(now) == speed_class::disturbed);
    now += 2s;
    CHECK(speed.classify(now) == speed_class::usual);
    DOUBLES_EQUAL(1.0, speed.slowdown(now), 0.01);
    report(300, 9, 800ms);
    CHECK(speed.classify(now) == speed_class::slow);
    DOUBLES_EQUAL(3.0, speed.slowdown(now + 10s), 0.01);
}

// Evidence that is out of date must not keep an endpoint from getting requests for ever.
TEST(endpoint_speed, forgetsOldEvidence)
{
    report(800, 9, 800ms);
    DOUBLES_EQUAL(1.0, speed.slowdown(now + 3min), 0.01);
}

// An endpoint that understates how long work takes would attract requests, so the observed times must prevail.
TEST(endpoint_speed, ignoresReportsThatContradictObservedTimes)
{
    for (int i = 0; i < 20; ++i) {
        speed.noteReported(10, now);
        speed.noteObserved(4.0, now);
        now += 800ms;
    }
    CHECK_FALSE(speed.areReportsTrusted());
    CHECK(speed.classify(now) == speed_class::slow);
}

// A single instance sees most engines less than once in a minute, so what the others have seen must suffice.
TEST(endpoint_speed, learnsFromOtherInstances)
{
    plan_fixture fixture;
    for (int i = 0; i < 5; ++i) {
        fixture.endpoints.notePeerSpeeds({{endpoint_id("d1"), 300}, {endpoint_id("d2"), 100}, {endpoint_id("gone"), 900}}, fixture.now);
    }
    DOUBLES_EQUAL(3.0, fixture.endpoints.slowdown(endpoint_id("d1"), fixture.now), 0.01);
    LONGS_EQUAL(1, fixture.endpoints.countBySpeed(fixture.now).slow);
    const endpoint_state *chosen =
        fixture.endpoints.choose(service_id("engine"), attempt_kind::reserve, token_count(100), {}, nullptr, fixture.now, fixture.random);
    CHECK(chosen->entry.id != endpoint_id("d1"));
}

// A report to the others must stay small, must not repeat old evidence, and must get to all endpoints in time.
TEST(endpoint_speed, sharesABoundedPartInTurn)
{
    plan_fixture fixture;
    const auto reportAll = [&] {
        for (int i = 0; i < 20; ++i) {
            const std::string name = "x" + std::to_string(10 + i);
            fixture.endpoints.put(plan_fixture::entry(name, "plain", std::nullopt), nullptr, fixture.now);
            fixture.endpoints.noteLoad(endpoint_id(name), {1, 0, 8, 250}, fixture.now);
        }
    };
    reportAll();
    LONGS_EQUAL(16, fixture.endpoints.takeSeenSpeeds().size());
    CHECK_TRUE(fixture.endpoints.takeSeenSpeeds().empty());
    reportAll();
    STRCMP_EQUAL("x26", fixture.endpoints.takeSeenSpeeds().front().endpoint.value().c_str());
}

// The time of a prefill at a slow engine must count as slowness and not as a queue, which would be over soon; without the figure, nothing
// may change.
TEST(endpoint_speed, stretchesEstimatesOfPrefills)
{
    plan_fixture fixture;
    const auto estimate = [&] {
        return fixture.endpoints.estimatePrefill(*fixture.endpoints.find(endpoint_id("r1")), token_count(1000), fixture.now);
    };
    fixture.endpoints.noteEnded(endpoint_id("r2"), token_count(1000), fixture.now - 40ms, false, health_verdict::good, fixture.now);
    DOUBLES_EQUAL(0.04, estimate().processingTime.count(), 0.001);
    for (int i = 0; i < 5; ++i) {
        fixture.endpoints.notePeerSpeeds({{endpoint_id("r1"), 300}}, fixture.now);
    }
    DOUBLES_EQUAL(0.12, estimate().processingTime.count(), 0.001);
    DOUBLES_EQUAL(0.04, estimate().usualProcessingTime.count(), 0.001);
}

TEST_GROUP(spill_over) {};

// Around the point at which both data centres are equally good, requests must not move back and forth.
TEST(spill_over, movesBackWithHysteresis)
{
    spill_over spill;
    instant now(1000s);
    const auto note = [&](double difference) {
        for (int i = 0; i < 40; ++i) {
            now += 100ms;
            spill.note(1.0 + difference, 1.0, now);
        }
        return spill.isSpilling();
    };
    CHECK_FALSE(note(0.0));
    CHECK_FALSE(note(0.2));
    CHECK_TRUE(note(0.4));
    CHECK_TRUE(note(0.2));
    CHECK_FALSE(note(0.0));
    CHECK_FALSE(note(0.2));
}
