// Flows at a service whose routes have different priorities.

#include "plan_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(scarce_capacity_flow)
{
    plan_fixture site;

    void setup() override
    {
        traffic_plan content = site.plan->plan();
        for (traffic_route &route : content.routes) {
            route.priority = route.id == route_id("single") ? 2 : 0;
            route.target = 1000ms;
        }
        site.plan = std::make_shared<const plan_index>(std::move(content));
    }

    forward_flow flow(const char *route, int number)
    {
        forward_flow plain = site.flow(route);
        admitted_request request = plain.request();
        request.flow = flow_id(number);
        request.priority = request.route->priority;
        return forward_flow(std::move(request));
    }

    flow_actions end(
        forward_flow & target, const start_attempt &attempt, attempt_outcome outcome, const std::optional<std::string> &handle = {})
    {
        return target.onEnd(attempt.number, outcome, {}, handle, site.context(), site.now);
    }

    /// Refuses all reservations until the flow pauses or ends. Returns the last actions.
    flow_actions refuseRound(forward_flow & target, flow_actions actions)
    {
        while (const auto *sent = findAction<start_attempt>(actions)) {
            CHECK_TRUE(sent->attemptKind == attempt_kind::reserve);
            actions = end(target, *sent, attempt_outcome::rejected);
        }
        return actions;
    }

    void refuseElsewhere(int count)
    {
        for (int i = 0; i < count; ++i) {
            site.sharing.of(service_id("engine")).monitor.noteRefused(priority_rank(1), site.now);
        }
    }
};

// Guards against ranks at a service whose routes all have the same priority, and against ranks that do not follow the plan.
TEST(scarce_capacity_flow, ranksPrioritiesOnlyWhereTheyDiffer)
{
    CHECK_FALSE(plan_fixture().plan->rankOf(service_id("engine"), 0).has_value());
    CHECK_TRUE(site.plan->rankOf(service_id("engine"), 0) == priority_rank(0));
    CHECK_TRUE(site.plan->rankOf(service_id("engine"), 2) == priority_rank(1));
    // A workspace's priority may lie between those of the routes.
    CHECK_TRUE(site.plan->rankOf(service_id("engine"), 1) == priority_rank(1));
    CHECK_FALSE(site.plan->rankOf(service_id("plain"), 0).has_value());
}

// Guards against a wait whose end in a refusal was known at its begin, and against a refusal that names a time the caller ignores.
TEST(scarce_capacity_flow, refusesALaterPriorityAtOnceWhenNoCapacityIsExpected)
{
    refuseElsewhere(300);
    forward_flow later = flow("single", 1);
    const flow_actions actions = later.begin(site.context(), site.now);
    POINTERS_EQUAL(nullptr, findAction<start_attempt>(actions));
    const auto *refused = findAction<refuse_request>(actions);
    CHECK(refused != nullptr);
    CHECK_TRUE(refused->cause == refusal_cause::overloaded && refused->isNotExecuted);
    CHECK_TRUE(*refused->retryAfter >= 1s && *refused->retryAfter * 3 <= 4s);
    CHECK_TRUE(findAction<report_failed_reservations>(actions)->facts->isRefusedAtOnce);
    LONGS_EQUAL(0, site.sharing.waiting(false));

    forward_flow first = flow("stream", 2);
    CHECK(findAction<start_attempt>(first.begin(site.context(), site.now)) != nullptr);
    LONGS_EQUAL(1, site.sharing.waiting(true));
}

// Load: workspaces with priorities of their own at the edge of the capacity. Guards against requests of the first route that are refused
// unasked because their workspace has a later priority, and against a first rank that is refused on the little evidence of one instance.
TEST(scarce_capacity_flow, searchesByTheMoreUrgentOfRouteAndWorkspace)
{
    refuseElsewhere(300);
    for (int i = 0; i < 300; ++i) {
        site.sharing.of(service_id("engine")).monitor.noteRefused(priority_rank(0), site.now);
    }
    admitted_request request = flow("stream", 1).request();
    request.priority = 2;
    forward_flow first(std::move(request));
    CHECK(findAction<start_attempt>(first.begin(site.context(), site.now)) != nullptr);
    LONGS_EQUAL(1, site.sharing.waiting(true));
}

// Load: capacity that one stream frees while requests of both priorities wait. Guards against capacity that goes to whoever asks next, and
// against an entry of the queue that outlives its request.
TEST(scarce_capacity_flow, offersFreedCapacityToTheFirstPriority)
{
    forward_flow running = flow("single", 1);
    flow_actions actions = running.begin(site.context(), site.now);
    for (const char *handle : {"room", "prompt"}) {
        actions = end(running, start_attempt(*findAction<start_attempt>(actions)), attempt_outcome::whole, handle);
    }
    const start_attempt decode = *findAction<start_attempt>(actions);
    CHECK_TRUE(decode.attemptKind == attempt_kind::decode);

    forward_flow later = flow("single", 2);
    refuseRound(later, later.begin(site.context(), site.now));
    forward_flow first = flow("stream", 3);
    refuseRound(first, first.begin(site.context(), site.now));
    LONGS_EQUAL(1, site.sharing.waiting(true));

    end(running, decode, attempt_outcome::lost);
    const std::vector<flow_id> woken = site.sharing.takeWoken();
    LONGS_EQUAL(1, woken.size());
    CHECK_TRUE(woken.front() == flow_id(3));
    actions = first.onDeadline(site.context(), site.now);
    const auto *asked = findAction<start_attempt>(actions);
    CHECK(asked != nullptr);
    CHECK_TRUE(asked->endpoint == decode.endpoint);
    end(first, start_attempt(*asked), attempt_outcome::whole, "room");
    LONGS_EQUAL(0, site.sharing.waiting(true));
    LONGS_EQUAL(1, site.sharing.waiting(false));
    later.onCallerDisconnected(site.context(), site.now);
    LONGS_EQUAL(0, site.sharing.waiting(false));
}
