#include "forwarding/admission.h"
#include "forwarding/plan_fixture.h"

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

/// A plan with one workspace that may use 100 tokens per second.
struct admission_fixture : plan_fixture
{
    std::shared_ptr<const plan_index> limited;
    deadline finishBy = deadline::never();
    deadline estimateStreamsUntil = deadline::never();
    deadline callerDeadline = deadline::never();
    route_durations durations;

    admission_fixture()
    {
        traffic_plan content = plan->plan();
        workspace_plan workspace;
        workspace.id = workspace_id("w");
        workspace.keys = {"k"};
        workspace.countsTokens = true;
        workspace.ratePerSecond = 100.0;
        workspace.burst = 100.0;
        workspace.defaultCost = 60;
        content.workspaces = {workspace};
        limited = std::make_shared<const plan_index>(content);
    }

    admission_decision decide(const std::string &path, const std::string &key)
    {
        forward_facts facts;
        facts.host = host;
        facts.path = path;
        facts.key = key;
        facts.callerDeadline = callerDeadline;
        return decideAdmission(facts, now, {limited, true, finishBy, estimateStreamsUntil, &durations}, now);
    }
};

} // namespace

TEST_GROUP(admission) {};

// A wrong cause of refusal would mislead the caller and the operator.
TEST(admission, reportsTheFirstCauseThatApplies)
{
    admission_fixture fixture;
    CHECK(fixture.decide("/none/x", "k").cause == refusal_cause::unknown_route);
    CHECK(fixture.decide("/safe/x", "other").cause == refusal_cause::unknown_key);
    forward_facts facts;
    const admission_decision early = decideAdmission(facts, fixture.now, {nullptr, true, fixture.finishBy}, fixture.now);
    CHECK(early.cause == refusal_cause::not_ready);
    CHECK_TRUE(early.retryAfter.has_value());
}

// A request must be charged to the workspace of its key at its own cost; a workspace without a limit is not charged.
TEST(admission, namesTheWorkspaceToCharge)
{
    admission_fixture fixture;
    const admission_decision decided = fixture.decide("/safe/x", "k");
    CHECK_TRUE(decided.request.has_value());
    CHECK(decided.limited->id == workspace_id("w"));
    DOUBLES_EQUAL(60.0, decided.cost, 1e-9);
    CHECK_FALSE(decided.request->grant.has_value());
    traffic_plan unlimited = fixture.limited->plan();
    unlimited.workspaces.front().ratePerSecond = 0.0;
    fixture.limited = std::make_shared<const plan_index>(unlimited);
    CHECK(fixture.decide("/safe/x", "k").limited == nullptr);
}

// A request that is admitted shortly before the process ends would be cut off.
TEST(admission, refusesDuringShutdownWhatMayOutlastIt)
{
    admission_fixture fixture;
    for (const std::string path : {"/safe/x", "/stream/x", "/unsafe/x"}) {
        fixture.callerDeadline = deadline::never();
        fixture.finishBy = deadline::after(fixture.now, fixture.limited->findRoute(fixture.host, path)->timeout - 1ms);
        CHECK(fixture.decide(path, "k").cause == refusal_cause::shutting_down);
        CHECK_TRUE(fixture.decide(path, "k").retryAfter.has_value());
        fixture.callerDeadline = fixture.finishBy;
        CHECK_TRUE(fixture.decide(path, "k").request.has_value());
        fixture.finishBy = deadline::after(fixture.now, fixture.limited->findRoute(fixture.host, path)->timeout);
        fixture.callerDeadline = deadline::never();
        CHECK_TRUE(fixture.decide(path, "k").request.has_value());
    }
}

// Guards against streams that are taken late in a shutdown by the length of recent ones, outlast the grace period and are cut.
TEST(admission, judgesLateStreamsDuringShutdownByTheTimeAllowed)
{
    CHECK_PROPERTY("a stream taken after the instance left the rotation ends in time", [](std::uint16_t left, std::uint16_t recent) {
        admission_fixture fixture;
        fixture.finishBy = deadline::after(fixture.now, std::chrono::milliseconds(left % 10000));
        fixture.estimateStreamsUntil = deadline(fixture.now);
        for (const char *path : {"/stream/x", "/single/x", "/resumed/x"}) {
            fixture.durations.note(fixture.limited->findRoute(fixture.host, path)->id, std::chrono::milliseconds(recent), fixture.now);
            const admission_decision decided = fixture.decide(path, "k");
            const bool fits = deadline::after(fixture.now, fixture.limited->findRoute(fixture.host, path)->timeout) <= fixture.finishBy;
            RC_ASSERT(decided.request.has_value() == fits);
        }
    });
}

// Guards against refusing every stream that new connections bring to a stopping instance because routes allow streams more time than the
// grace period: in a calm roll 3 of 100 requests were not served (own-stops on rampa-hat).
TEST(admission, judgesStreamsDuringShutdownByTheLongestRecentOne)
{
    admission_fixture fixture;
    fixture.finishBy = deadline::after(fixture.now, 3s);
    CHECK(fixture.decide("/stream/x", "k").cause == refusal_cause::shutting_down);
    for (const char *name : {"stream", "unsafe", "safe"}) {
        fixture.durations.note(route_id(name), 2s, fixture.now);
        fixture.durations.note(route_id(name), 1s, fixture.now);
    }
    CHECK_TRUE(fixture.decide("/stream/x", "k").request.has_value());
    CHECK_FALSE(fixture.decide("/unsafe/x", "k").request.has_value());
    CHECK_FALSE(fixture.decide("/safe/x", "k").request.has_value());
    fixture.durations.note(route_id("stream"), 4s, fixture.now);
    CHECK_FALSE(fixture.decide("/stream/x", "k").request.has_value());
    // Old durations are forgotten.
    CHECK_TRUE(fixture.durations.longest(route_id("stream"), fixture.now + 30s).has_value());
    fixture.durations.note(route_id("stream"), 1s, fixture.now + 50s);
    CHECK(*fixture.durations.longest(route_id("stream"), fixture.now + 50s) == 1s);
    CHECK_FALSE(fixture.durations.longest(route_id("stream"), fixture.now + 200s).has_value());
}
