#include "forwarding/member_view.h"
#include "forwarding/quota_plan.h"
#include "forwarding/service_retry_budget.h"
#include "forwarding/workspace_shares.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr double rate = 1000.0;
constexpr double burst = 1000.0;
const workspace_id workspace("w");

} // namespace

TEST_GROUP(shares) {};

// An instance that cannot reach the others keeps its even share, and no more.
TEST(shares, keepsAnEvenShareWithoutContact)
{
    const instant start(1000s);
    workspace_shares shares(instance_id("me"), {});
    shares.setPlan(quotaPlan(rate, burst), start);
    shares.setInstanceCount(4, start);
    DOUBLES_EQUAL(0.1, shares.shareOf(workspace), 0.001);
}

// A change of the plan must not grant a new burst each time.
TEST(shares, grantsNoNewBurstWithEachPlan)
{
    const instant start(1000s);
    workspace_shares shares(instance_id("me"), {});
    shares.setPlan(quotaPlan(rate, burst), start);
    int taken = 0;
    for (int change = 0; change < 50; ++change) {
        shares.setPlan(quotaPlan(rate, burst + change % 2), start);
        while (shares.take(workspace, 100.0, start)) {
            ++taken;
        }
    }
    CHECK(taken <= 10);
}

TEST(shares, retriesStayWithinTheBudgetOfAllInstances)
{
    constexpr std::int64_t instances = 8;
    constexpr std::int64_t fixedAllowance = 56;
    const instant now(1000s);
    std::int64_t retryCount = 0;
    constexpr std::int64_t requests = 100;
    for (std::int64_t instance = 0; instance < instances; ++instance) {
        service_retry_budget budget({20, fixedAllowance});
        budget.setInstanceCount(instances);
        for (std::int64_t request = 0; request < requests; ++request) {
            budget.earn(service_id("s"), now);
            retryCount += budget.spend(service_id("s"), now) ? 1 : 0;
        }
    }
    CHECK(retryCount <= instances * requests * 20 / 100 + fixedAllowance);
    CHECK(retryCount > 0);
}

// Freshness is judged by changes of the reports, so that instances with wrong clocks count as well.
TEST(shares, countsOnlyMembersThatReport)
{
    instant now(1000s);
    member_view members(instance_id("me"));
    members.put(instance_id("other"), {incarnation_id("a"), 1}, now);
    LONGS_EQUAL(2, members.instances(now).size());
    now += 40s;
    members.put(instance_id("other"), {incarnation_id("a"), 1}, now);
    LONGS_EQUAL(1, members.instances(now).size());
    members.put(instance_id("other"), {incarnation_id("b"), 1}, now);
    LONGS_EQUAL(2, members.instances(now).size());
}
