#include "forwarding/rollout_gate.h"

#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const rollout_settings settings = {0.1, 4000ms, 3000ms};
const service_id service("s");
const service_version oldVersion("v1");
const service_version newVersion("v2");
const rollout_number number(7);

endpoint_entry entryOf(const service_version &version)
{
    endpoint_entry entry;
    entry.service = service;
    entry.version = version;
    return entry;
}

evidence_key keyOf(const char *route, const char *dataCentre)
{
    return {route_id(route), attempt_kind::plain_call, data_centre_id(dataCentre)};
}

evidence_counts countsOf(std::int64_t responses, std::int64_t failures, std::size_t bucket = 5)
{
    evidence_counts counts;
    counts.responses = responses;
    counts.failures = failures;
    counts.latencies.at(bucket) = responses - failures;
    return counts;
}

/// The gate of one instance, with an order of 12 s in force.
struct instance_under_test
{
    rollout_gate gate {settings};
    instant now {1000s};

    instance_under_test()
    {
        gate.noteRegistered(entryOf(oldVersion), now);
        now += 2s;
        gate.noteRegistered(entryOf(newVersion), now);
        gate.noteContact(now);
        gate.setOrder({service, newVersion, 12s}, number, deadline::after(now, 12s), now);
    }

    void decide(rollout_state state)
    {
        rollout_decision decided;
        decided.service = service;
        decided.target = newVersion;
        decided.order = number;
        decided.state = state;
        decided.trusted = {oldVersion};
        decided.completeBy = deadline::after(now, 12s);
        gate.applyDecision(decided, now);
    }

    bool mayReceive(const service_version &version) const
    {
        return gate.mayReceive(entryOf(version), now);
    }
};

} // namespace

TEST_GROUP(rollout) {};

// Guards against a sum over instances above the share, in whatever order requests are sent, answered, and instances are restarted.
TEST(rollout, exposureNeverExceedsTheShareOfAllRequests)
{
    CHECK_PROPERTY("exposure", [] {
        std::vector<instance_under_test> instances(3);
        for (instance_under_test &one : instances) {
            one.decide(rollout_state::collecting);
        }
        std::int64_t reached = 0;
        std::int64_t exposed = 0;
        for (const int step : *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 100))) {
            instance_under_test &one = instances.at(static_cast<std::size_t>(step % 3));
            if (step == 99) {
                one = instance_under_test();
                one.decide(rollout_state::collecting);
            } else if (step < 50) {
                one.gate.noteReached(service);
                ++reached;
            } else if (one.gate.chooseSide(service, 1, one.now) == rollout_side::candidate) {
                ++exposed;
            }
            RC_ASSERT(static_cast<double>(exposed) <= settings.share * static_cast<double>(reached));
        }
    });
}

// Guards against exposure by an instance that cannot hear of a decision to roll back.
TEST(rollout, sendsNothingToTheCandidateOutOfContactOrBeforeADecision)
{
    instance_under_test one;
    CHECK_FALSE(one.mayReceive(newVersion));
    one.decide(rollout_state::collecting);
    CHECK_TRUE(one.mayReceive(newVersion));
    one.now += settings.silence;
    CHECK_FALSE(one.mayReceive(newVersion));
    CHECK_TRUE(one.mayReceive(oldVersion));
}

// Guards against a bad version that is not recognized, on one route only or by its speed.
TEST(rollout, judgesAVersionThatFailsOrIsSlowOnOneRouteAsBad)
{
    CHECK_PROPERTY("bad", [] {
        const bool isSlow = *rc::gen::arbitrary<bool>();
        const auto bad = *rc::gen::inRange<std::int64_t>(12, 50);
        evidence_counts faulty = countsOf(60, isSlow ? 0 : bad);
        if (isSlow) {
            faulty.latencies.at(5) -= bad;
            faulty.latencies.at(8) += bad;
        }
        rollout_evidence total;
        total[keyOf("a", "z1")] = {countsOf(600, 6), faulty};
        total[keyOf("b", "z1")] = {countsOf(6000, 60), countsOf(600, 6)};
        RC_ASSERT(rollout_judge().review(total, instant(1s)).verdict == rollout_verdict::bad);
    });
}

// Guards against blaming a good version for an outage of all versions or for a data centre in which most of its requests are served.
TEST(rollout, doesNotBlameAGoodVersionForAnOutageOrASlowDataCentre)
{
    CHECK_PROPERTY("good", [] {
        const auto part = *rc::gen::inRange<std::int64_t>(0, 9);
        rollout_evidence total;
        total[keyOf("a", "z1")] = {countsOf(1000, part * 100, 9), countsOf(200, part * 20, 9)};
        total[keyOf("a", "z2")] = {countsOf(3000, 30), countsOf(20, 0)};
        RC_ASSERT(rollout_judge().review(total, instant(1s)).verdict != rollout_verdict::bad);
    });
}

// Guards against old endpoints that still get requests when they stop, and against a terminal state that is left again.
TEST(rollout, keepsATerminalState)
{
    instance_under_test one;
    one.decide(rollout_state::collecting);
    one.decide(rollout_state::promoting);
    CHECK_FALSE(one.mayReceive(oldVersion));
    one.decide(rollout_state::completed);
    one.decide(rollout_state::rolled_back);
    CHECK_TRUE(one.mayReceive(newVersion));
    CHECK_FALSE(one.mayReceive(oldVersion));
    CHECK_FALSE(one.gate.isFollowing());
}

// Guards against a rollout that misses its deadline because one instance does not report, and against one that completes too early.
TEST(rollout, completesWhenOthersHaveDrainedOrTheDeadlineIsNear)
{
    instance_under_test one;
    const std::vector<instance_id> others = {instance_id("other")};
    one.decide(rollout_state::collecting);
    CHECK_TRUE(one.gate.nextDecisions(others, one.now).empty());
    one.now += 9s;
    CHECK(one.gate.nextDecisions(others, one.now).at(0).state == rollout_state::promoting);
    one.decide(rollout_state::promoting);
    CHECK_TRUE(one.gate.nextDecisions(others, one.now).empty());
    one.gate.setReports(others.front(), {{service, number, rollout_state::promoting, 0, {}}}, one.now);
    CHECK(one.gate.nextDecisions(others, one.now).at(0).state == rollout_state::completed);
    one.gate.setReports(others.front(), {{service, number, rollout_state::promoting, 1, {}}}, one.now);
    CHECK_TRUE(one.gate.nextDecisions(others, one.now).empty());
    one.now += 2500ms;
    CHECK(one.gate.nextDecisions(others, one.now).at(0).state == rollout_state::completed);
}
