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
        engine_snapshot engine;
        engine.id = endpoint_id("e" + std::to_string(index));
        engine.service = service_id("s");
        engine.stage = index < prefill ? engine_stage::prefill : engine_stage::decode;
        all.push_back(engine);
    }
    return all;
}

// Asks for changes once a second for 10 s, without any order taking effect, and counts them.
int countOrders(stage_balancer &balance, const std::vector<engine_snapshot> &all, instant now)
{
    int orders = 0;
    for (int step = 0; step < 10; ++step, now += 1s) {
        if (const auto change = balance.next(all, now)) {
            balance.noteOrdered(*change, now);
            ++orders;
        }
    }
    return orders;
}

} // namespace

TEST_GROUP(stage_balancer) {};

// Orders that have not taken effect yet must not be repeated for other engines, which would reverse the imbalance.
TEST(stage_balancer, ordersNoMoreChangesThanAreNeeded)
{
    const instant start(1000s);
    stage_balancer balance(33);
    LONGS_EQUAL(1, countOrders(balance, engines(4, 5), start));
    stage_balancer balanced(33);
    LONGS_EQUAL(0, countOrders(balanced, engines(3, 6), start));
    stage_balancer disabled(0);
    LONGS_EQUAL(0, countOrders(disabled, engines(9, 0), start));
}

// Without a prefill engine, decode endpoints process every prompt at half the speed and delay their streams.
TEST(stage_balancer, restoresAnEmptyPrefillPool)
{
    const instant start(1000s);
    stage_balancer balance(33);
    const auto all = engines(0, 6);
    CHECK_FALSE(balance.next(all, start).has_value());
    const auto change = balance.next(all, start + 3s);
    CHECK_TRUE(change.has_value());
    CHECK(change->to == engine_stage::prefill);
}

// An engine that is down for a moment comes back; a change of stage would have to be reversed.
TEST(stage_balancer, ignoresShortImbalances)
{
    const instant start(1000s);
    stage_balancer balance(33);
    CHECK_FALSE(balance.next(engines(5, 4), start).has_value());
    CHECK_FALSE(balance.next(engines(3, 6), start + 1s).has_value());
    CHECK_FALSE(balance.next(engines(5, 4), start + 3s).has_value());
}

TEST_GROUP(stage_control_lease) {};

// Two holders of stage control within the handover interval would give contradicting orders.
TEST(stage_control_lease, waitsUntilAnEarlierHolderHasStopped)
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

// After a pause of the process the last confirmation has expired, although the instance still believes that it holds stage control.
TEST(stage_control_lease, expiresWithoutConfirmation)
{
    const instant start(1000s);
    stage_control_lease lease(3s);
    for (int step = 0; step <= 6; ++step) {
        lease.noteResponse(true, fencing_token(5), start + std::chrono::seconds(step));
    }
    CHECK_TRUE(lease.mayIssueOrders(start + 6s));
    CHECK_FALSE(lease.mayIssueOrders(start + 8s));
    // After the gap it waits like a new holder.
    lease.noteResponse(true, fencing_token(6), start + 8s);
    CHECK_FALSE(lease.mayIssueOrders(start + 9s));
}

// A delayed response from an earlier generation must not restore stage control.
TEST(stage_control_lease, ignoresAnEarlierGeneration)
{
    const instant start(1000s);
    stage_control_lease lease(3s);
    lease.noteResponse(false, fencing_token(7), start);
    lease.noteResponse(true, fencing_token(6), start);
    CHECK_FALSE(lease.isHeld());
}
