#include "forwarding/admission.h"
#include "forwarding/plan_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

/// A plan with one workspace that may use 100 tokens per second.
struct admission_fixture : plan_fixture
{
    workspace_shares shares {quota_tolerance {}};
    std::shared_ptr<const plan_index> limited;
    deadline streamsUntil = deadline::never();
    deadline callsUntil = deadline::never();

    admission_fixture()
    {
        traffic_plan content = plan->plan();
        workspace_plan workspace;
        workspace.id = workspace_id("w");
        workspace.keys = {"k"};
        workspace.countsTokens = true;
        workspace.ratePerSecond = 100.0;
        workspace.burst = 100.0;
        workspace.plainCost = 60;
        content.workspaces = {workspace};
        limited = std::make_shared<const plan_index>(content);
        shares.setPlan(limited->plan(), now);
    }

    admission_decision decide(const std::string &path, const std::string &key)
    {
        forward_facts facts;
        facts.host = host;
        facts.path = path;
        facts.key = key;
        return decideAdmission(facts, now, {limited, true, shares, streamsUntil, callsUntil}, now);
    }
};

} // namespace

TEST_GROUP(admission) {};

// Guards against a cause that sends the caller or the person on call the wrong way.
TEST(admission, namesTheFirstCauseThatApplies)
{
    admission_fixture fixture;
    CHECK(fixture.decide("/none/x", "k").cause == refusal_cause::unknown_route);
    CHECK(fixture.decide("/safe/x", "other").cause == refusal_cause::unknown_key);
    forward_facts facts;
    const admission_decision early =
        decideAdmission(facts, fixture.now, {nullptr, true, fixture.shares, fixture.streamsUntil, fixture.callsUntil}, fixture.now);
    CHECK(early.cause == refusal_cause::not_ready);
    CHECK_TRUE(early.retryAfter.has_value());
}

// A refusal must not use up the workspace's rate, and a cost that is put back must be there for the next request.
TEST(admission, chargesAdmittedRequestsOnly)
{
    admission_fixture fixture;
    const admission_decision first = fixture.decide("/safe/x", "k");
    CHECK_TRUE(first.request.has_value());
    DOUBLES_EQUAL(60.0, first.request->charged, 1e-9);
    const admission_decision second = fixture.decide("/safe/x", "k");
    CHECK(second.cause == refusal_cause::over_quota);
    CHECK_TRUE(second.retryAfter > 0ms);
    fixture.shares.giveBack(first.request->workspace, first.request->charged);
    CHECK_TRUE(fixture.decide("/safe/x", "k").request.has_value());
}

// A stream that is taken shortly before the process ends would be cut.
TEST(admission, leavesLateStreamsOfAShutdownToOthersSoonerThanCalls)
{
    admission_fixture fixture;
    fixture.streamsUntil = deadline::after(fixture.now, -1ms);
    fixture.callsUntil = deadline::after(fixture.now, 1s);
    CHECK(fixture.decide("/stream/x", "k").cause == refusal_cause::shutting_down);
    CHECK_TRUE(fixture.decide("/safe/x", "k").request.has_value());
}
