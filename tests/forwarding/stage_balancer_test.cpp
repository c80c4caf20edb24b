#include "forwarding/stage_balancer.h"
#include "forwarding/stage_control_lease.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

std::vector<engine_snapshot> engines(int prefill, int decode)
{
    std::vector<engine_snapshot> all;
    for (int index = 0; index < prefill + decode; ++index) {
        engine_snapshot one;
        one.id = endpoint_id("e" + std::to_string(index));
        one.service = service_id("s");
        one.stage = index < prefill ? engine_stage::prefill : engine_stage::decode;
        all.push_back(one);
    }
    return all;
}

// Orders until nothing is left to do, one a second, without any order being carried out.
int ordersGiven(stage_balancer &balance, const std::vector<engine_snapshot> &all, instant now)
{
    int given = 0;
    for (int step = 0; step < 10; ++step, now += 1s) {
        if (const auto change = balance.next(all, now)) {
            balance.noteOrdered(*change, now);
            ++given;
        }
    }
    return given;
}

} // namespace

TEST_GROUP(stage_balancer) {};

// Orders that are not carried out yet must not be given again, which would turn the pools around.
TEST(stage_balancer, ordersNoMoreChangesThanAreNeeded)
{
    const instant start(1000s);
    stage_balancer balance(33);
    LONGS_EQUAL(1, ordersGiven(balance, engines(4, 5), start));
    stage_balancer settled(33);
    LONGS_EQUAL(0, ordersGiven(settled, engines(3, 6), start));
    stage_balancer off(0);
    LONGS_EQUAL(0, ordersGiven(off, engines(9, 0), start));
}

// Without any engine for prompts every prompt is read at half speed beside running streams.
TEST(stage_balancer, bringsBackALostStage)
{
    const instant start(1000s);
    stage_balancer balance(33);
    const auto all = engines(0, 6);
    CHECK_FALSE(balance.next(all, start).has_value());
    const auto change = balance.next(all, start + 3s);
    CHECK_TRUE(change.has_value());
    CHECK(change->to == engine_stage::prefill);
}

// An engine that is gone for a moment comes back; a change would cost its time twice.
TEST(stage_balancer, waitsBeforeItOrders)
{
    const instant start(1000s);
    stage_balancer balance(33);
    CHECK_FALSE(balance.next(engines(5, 4), start).has_value());
    CHECK_FALSE(balance.next(engines(3, 6), start + 1s).has_value());
    CHECK_FALSE(balance.next(engines(5, 4), start + 3s).has_value());
}

TEST_GROUP(stage_control_lease) {};

// Two holders that take turns within the time would give orders that contradict each other.
TEST(stage_control_lease, waitsForAnEarlierHolderToStop)
{
    const instant start(1000s);
    stage_control_lease lease(3s);
    lease.noteResponse(true, fencing_token(5), start);
    CHECK_FALSE(lease.mayIssueOrders(start));
    for (int step = 1; step <= 5; ++step) {
        lease.noteResponse(true, fencing_token(5), start + std::chrono::seconds(step));
    }
    CHECK_TRUE(lease.mayIssueOrders(start + 5s));
}

// A holder that was paused finds its confirmation too old, whatever it believes.
TEST(stage_control_lease, endsByItselfWithoutConfirmation)
{
    const instant start(1000s);
    stage_control_lease lease(3s);
    for (int step = 0; step <= 6; ++step) {
        lease.noteResponse(true, fencing_token(5), start + std::chrono::seconds(step));
    }
    CHECK_TRUE(lease.mayIssueOrders(start + 6s));
    CHECK_FALSE(lease.mayIssueOrders(start + 8s));
    // Coming back after the gap, it waits like a new holder.
    lease.noteResponse(true, fencing_token(6), start + 8s);
    CHECK_FALSE(lease.mayIssueOrders(start + 9s));
}

// A late answer from before a change must not bring the duty back.
TEST(stage_control_lease, ignoresAnEarlierGeneration)
{
    const instant start(1000s);
    stage_control_lease lease(3s);
    lease.noteResponse(false, fencing_token(7), start);
    lease.noteResponse(true, fencing_token(6), start);
    CHECK_FALSE(lease.isHeld());
}
