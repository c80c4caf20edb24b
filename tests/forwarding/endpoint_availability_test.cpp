#include "forwarding/plan_fixture.h"

#include <set>

#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

struct availability_fixture : plan_fixture
{
    endpoint_process process(const std::string &name, std::int64_t startTime = 10) const
    {
        return {endpoint_id(name), endpoint_start_time(startTime)};
    }

    void announceLeaving(const std::string &name, std::int64_t startTime = 10)
    {
        endpoint_notice notice;
        notice.isLeaving = true;
        endpoints.noteNotice(process(name, startTime), notice, now, random);
    }

    void pause(const std::string &name, std::chrono::milliseconds time, std::int64_t startTime = 10)
    {
        endpoint_notice notice;
        notice.pausedUntil = deadline::after(now, time);
        endpoints.noteNotice(process(name, startTime), notice, now, random);
    }

    availability_condition condition(const std::string &name) const
    {
        return endpoints.availability(endpoint_id(name), now).condition;
    }

    const endpoint_state *choosePlain()
    {
        return endpoints.choose(service_id("plain"), attempt_kind::plain_call, {}, {}, nullptr, now, random);
    }
};

const refuse_request *refusalOf(const flow_actions &actions)
{
    return findAction<refuse_request>(actions);
}

} // namespace

TEST_GROUP(endpoint_availability)
{
    availability_fixture fixture;
};

// The store may list a leaving endpoint as ready for seconds, drop its entry, and show an old one again.
TEST(endpoint_availability, registrationsDoNotUndoALeavingNotice)
{
    fixture.announceLeaving("p1");
    CHECK(fixture.condition("p1") == availability_condition::leaving);
    fixture.put("p1", "plain", std::nullopt);
    CHECK(fixture.condition("p1") == availability_condition::leaving);
    fixture.endpoints.remove(endpoint_id("p1"));
    CHECK(fixture.condition("p1") == availability_condition::unknown);
    fixture.put("p1", "plain", std::nullopt);
    CHECK(fixture.condition("p1") == availability_condition::leaving);
    for (int round = 0; round < 20; ++round) {
        CHECK(fixture.choosePlain()->entry.id != endpoint_id("p1"));
    }
}

// A process that starts again under the same id has not said that it leaves, and must get requests again.
TEST(endpoint_availability, aNewProcessUnderTheSameIdMayReceive)
{
    fixture.announceLeaving("p1");
    fixture.pause("p2", 5s);
    for (const char *name : {"p1", "p2"}) {
        endpoint_entry restarted = plan_fixture::entry(name, "plain", std::nullopt);
        restarted.startTime = endpoint_start_time(20);
        fixture.endpoints.put(restarted, nullptr, fixture.now);
        CHECK(fixture.condition(name) == availability_condition::available);
    }
    LONGS_EQUAL(2, fixture.endpoints.takeLifted().size());
    // A late response of the earlier process changes nothing.
    fixture.announceLeaving("p1", 10);
    CHECK(fixture.condition("p1") == availability_condition::available);
}

// The cause of the decision is logged and decides on Retry-After, so the condition that lasts longest is named.
TEST(endpoint_availability, namesTheConditionAndItsEnd)
{
    CHECK(fixture.condition("nobody") == availability_condition::unknown);
    CHECK(fixture.condition("p1") == availability_condition::available);
    fixture.pause("p1", 2s);
    const endpoint_availability paused = fixture.endpoints.availability(endpoint_id("p1"), fixture.now);
    CHECK(paused.condition == availability_condition::pausing);
    CHECK(paused.until >= deadline::after(fixture.now, 2s));
    CHECK(paused.until <= deadline::after(fixture.now, 2500ms));
    fixture.endpoints.setEvacuated({data_centre_id("dc-a")});
    CHECK(fixture.condition("p1") == availability_condition::evacuated);
    fixture.endpoints.noteMisdirected(endpoint_id("p1"));
    CHECK(fixture.condition("p1") == availability_condition::misdirected);
    endpoint_entry draining = plan_fixture::entry("p1", "plain", std::nullopt);
    draining.isDraining = true;
    fixture.endpoints.put(draining, nullptr, fixture.now);
    CHECK(fixture.condition("p1") == availability_condition::draining);
    fixture.announceLeaving("p1");
    CHECK(fixture.condition("p1") == availability_condition::leaving);
}

// All requests that have come during the pause would otherwise reach the endpoint at once, and each would be turned away again.
TEST(endpoint_availability, returnsWithOneRequestAtATime)
{
    const endpoint_id p1("p1");
    fixture.pause("p1", 1s);
    fixture.now += 1s + 200ms;
    CHECK(fixture.condition("p1") == availability_condition::available);
    const instant firstSent = fixture.now;
    fixture.endpoints.noteSent(p1, {}, fixture.now);
    CHECK(fixture.condition("p1") == availability_condition::probing);
    // A response to a request that was sent before the pause says nothing about its end.
    fixture.endpoints.noteStatus(p1, firstSent - 1s, 200, attempt_id("old"));
    CHECK(fixture.condition("p1") == availability_condition::probing);
    fixture.endpoints.noteStatus(p1, firstSent, 503, attempt_id("a"));
    fixture.endpoints.noteEnded(p1, {}, firstSent, false, health_verdict::refused, fixture.now);
    CHECK(fixture.condition("p1") == availability_condition::pausing);
    fixture.now += 100ms;
    fixture.endpoints.noteSent(p1, {}, fixture.now);
    fixture.endpoints.noteStatus(p1, fixture.now, 200, attempt_id("b"));
    CHECK(fixture.condition("p1") == availability_condition::available);
    const std::vector<lifted_restriction> lifted = fixture.endpoints.takeLifted();
    LONGS_EQUAL(1, lifted.size());
    CHECK(lifted.front().request == attempt_id("b"));
    CHECK_TRUE(fixture.endpoints.takeLifted().empty());
}

// A request that is cancelled while it is the only one after the pause must not block the endpoint for good.
TEST(endpoint_availability, aCancelledProbeIsFollowedByAnother)
{
    const endpoint_id p1("p1");
    fixture.pause("p1", 1s);
    fixture.now += 2s;
    fixture.endpoints.noteSent(p1, {}, fixture.now);
    fixture.endpoints.noteEnded(p1, {}, fixture.now, false, health_verdict::abandoned, fixture.now);
    fixture.now += 100ms;
    CHECK(fixture.condition("p1") == availability_condition::available);
}

// Instances that all return at the same moment would send as many requests at once as there are instances.
TEST(endpoint_availability, instancesReturnAtDifferentTimes)
{
    std::set<instant> ends;
    for (std::uint64_t seed = 0; seed < 30; ++seed) {
        availability_fixture other;
        other.random = random_source(seed);
        other.pause("p1", 2s);
        ends.insert(other.endpoints.availability(endpoint_id("p1"), other.now).until.at());
    }
    CHECK(ends.size() > 25);
    CHECK(*ends.rbegin() - *ends.begin() > 200ms);
}

// Between the notice and the end of the pause, the endpoint gets nothing, whatever else happens.
TEST(endpoint_availability, sendsNothingDuringAPause)
{
    CHECK_PROPERTY("nothing during a pause", [](const std::vector<std::uint16_t> &choices) {
        availability_fixture site;
        deadline pausedUntil;
        std::vector<instant> open;
        for (const std::uint16_t choice : choices) {
            site.now += std::chrono::milliseconds(choice % 300);
            const endpoint_id p1("p1");
            switch (choice % 5) {
            case 0:
                site.pause("p1", std::chrono::milliseconds(choice));
                pausedUntil = std::max(
                    pausedUntil,
                    std::min(deadline::after(site.now, std::chrono::milliseconds(choice)), deadline::after(site.now, maxEndpointPause)));
                break;
            case 1:
                site.put("p1", "plain", std::nullopt);
                break;
            case 2:
                site.endpoints.remove(p1);
                site.put("p1", "plain", std::nullopt);
                break;
            case 3:
                if (!open.empty()) {
                    site.endpoints.noteStatus(p1, open.back(), choice % 2 == 0 ? 200 : 503, attempt_id("a"));
                    site.endpoints.noteEnded(p1, {}, open.back(), false, health_verdict::good, site.now);
                    open.pop_back();
                }
                break;
            default:
                if (site.endpoints.mayReceive(p1, site.now)) {
                    RC_ASSERT(pausedUntil.hasPassed(site.now));
                    site.endpoints.noteSent(p1, {}, site.now);
                    open.push_back(site.now);
                }
                break;
            }
        }
    });
}

// While all endpoints pause, a request that waits cannot be served: its caller is told at once, and when the first of them returns.
TEST(endpoint_availability, refusesAtOnceWhileAllEndpointsPause)
{
    fixture.pause("p1", 3s);
    fixture.pause("p2", 900ms);
    fixture.pause("p3", 2s);
    for (const std::string route : {"safe", "unsafe"}) {
        forward_flow flow = fixture.flow(route);
        const flow_actions refused = flow.begin(fixture.context(), fixture.now);
        CHECK_TRUE(flow.isDone());
        CHECK(refusalOf(refused)->cause == refusal_cause::endpoints_pausing);
        CHECK_TRUE(refusalOf(refused)->isNotExecuted);
        CHECK(*refusalOf(refused)->retryAfter >= 900ms);
        CHECK(*refusalOf(refused)->retryAfter <= 1600ms);
    }
    for (const char *name : {"d1", "d2", "d3"}) {
        fixture.pause(name, 2s);
    }
    forward_flow stream = fixture.flow("stream");
    const flow_actions refused = stream.begin(fixture.context(), fixture.now);
    CHECK_TRUE(stream.isDone());
    CHECK(refusalOf(refused)->cause == refusal_cause::endpoints_pausing);
    CHECK(*refusalOf(refused)->retryAfter >= 2s);
}

// The last endpoint asks for a pause while a reservation is being searched: the search ends instead of waiting for its deadline.
TEST(endpoint_availability, endsTheSearchForCapacityWhenAllEndpointsPause)
{
    forward_flow flow = fixture.flow("stream");
    flow_actions actions = flow.begin(fixture.context(), fixture.now);
    for (const char *name : {"d1", "d2", "d3"}) {
        fixture.pause(name, 2s);
    }
    while (const auto *sent = findAction<start_attempt>(actions)) {
        actions = flow.onEnd(sent->number, attempt_outcome::rejected, {503, false}, std::nullopt, fixture.context(), fixture.now);
    }
    fixture.now += 70ms;
    actions = flow.onDeadline(fixture.context(), fixture.now);
    CHECK_TRUE(flow.isDone());
    CHECK(refusalOf(actions)->cause == refusal_cause::endpoints_pausing);
}

// A reservation, a prompt's handle or a repeat was chosen before the endpoint said that it leaves; nothing may be sent to it afterwards.
TEST(endpoint_availability, checksReservedEndpointsAgainBeforeTheDecode)
{
    for (const bool isPause : {false, true}) {
        availability_fixture site;
        forward_flow flow = site.flow("stream");
        const flow_actions begun = flow.begin(site.context(), site.now);
        const auto *reserve = findAction<start_attempt>(begun);
        const endpoint_id reserved = reserve->endpoint;
        const flow_actions prefilling = flow.onEnd(reserve->number, attempt_outcome::whole, {200, false}, "hold", site.context(), site.now);
        const auto *prefill = findAction<start_attempt>(prefilling);
        CHECK(prefill->attemptKind == attempt_kind::prefill);
        if (isPause) {
            site.pause(reserved.value(), 2s);
        } else {
            site.announceLeaving(reserved.value());
        }
        const flow_actions decoding = flow.onEnd(prefill->number, attempt_outcome::whole, {200, false}, "handle", site.context(), site.now);
        const auto *decode = findAction<start_attempt>(decoding);
        CHECK(decode->attemptKind == attempt_kind::decode);
        CHECK(decode->endpoint != reserved);
    }
}

// A request that was kept back has run nowhere: it goes on at another endpoint without using up an attempt or the retry budget.
TEST(endpoint_availability, sendsWithheldRequestsElsewhere)
{
    for (const std::string route : {"safe", "unsafe"}) {
        availability_fixture site;
        forward_flow flow = site.flow(route);
        const flow_actions begun = flow.begin(site.context(), site.now);
        const start_attempt first = *findAction<start_attempt>(begun);
        site.announceLeaving(first.endpoint.value());
        const flow_actions again = flow.onEnd(first.number, attempt_outcome::withheld, {}, std::nullopt, site.context(), site.now);
        const auto *second = findAction<start_attempt>(again);
        CHECK(second != nullptr);
        CHECK(second->endpoint != first.endpoint);
        LONGS_EQUAL(1, flow.attemptCount());
        // The endpoint has not failed.
        LONGS_EQUAL(0, site.endpoints.find(first.endpoint)->consecutiveFailures);
    }
}

// A service whose endpoints have all said that they leave must not look like one that is overloaded.
TEST(endpoint_availability, namesLeavingEndpointsAsTheCause)
{
    for (const char *name : {"p1", "p2", "p3"}) {
        fixture.announceLeaving(name);
    }
    forward_flow flow = fixture.flow("safe");
    const flow_actions refused = flow.begin(fixture.context(), fixture.now);
    CHECK(refusalOf(refused)->cause == refusal_cause::endpoints_leaving);
    CHECK_TRUE(refusalOf(refused)->retryAfter.has_value());
}
