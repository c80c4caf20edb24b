#include "forwarding/plan_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(plain_stream)
{
    plan_fixture fixture;

    forward_flow flow(bool isResumable)
    {
        traffic_plan content = fixture.plan->plan();
        const std::string name = isResumable ? "resumable-events" : "events";
        content.routes.push_back(plan_fixture::route(name, request_kind::streaming, "plain", 3));
        content.routes.back().isResumable = isResumable;
        fixture.plan = std::make_shared<const plan_index>(content);
        return fixture.flow(name);
    }
};

// Guards against two endpoints that send the same stream to one caller: when the first one pauses, it is cancelled before the stream
// continues at another.
TEST(plain_stream, continuesAtOneEndpointAfterAPause)
{
    forward_flow stream = flow(true);
    flow_actions actions = stream.begin(fixture.context(), fixture.now);
    const attempt_number first = findAction<start_attempt>(actions)->number;
    CHECK_TRUE(findAction<start_attempt>(actions)->isStreamed);
    stream.onHead(first, fixture.context(), fixture.now);
    stream.onBodyData(first, "id: 1\ndata: a\n\nid: 2\nda", fixture.context(), fixture.now);
    fixture.now = stream.nextDeadline().at();
    actions = stream.onDeadline(fixture.context(), fixture.now);
    CHECK(findAction<cancel_flow_attempt>(actions) != nullptr);
    CHECK(findAction<cancel_flow_attempt>(actions)->number == first);
    const start_attempt second = *findAction<start_attempt>(actions);
    LONGS_EQUAL(1, *second.resumeAfter);
    CHECK_TRUE(stream.onBodyData(first, "ta: b\n\n", fixture.context(), fixture.now).empty());
    stream.onHead(second.number, fixture.context(), fixture.now);
    actions = stream.onBodyData(second.number, "id: 2\ndata: b\n\n", fixture.context(), fixture.now);
    STRCMP_EQUAL("id: 2\ndata: b\n\n", findAction<relay_body_data>(actions)->bytes.c_str());
    actions = stream.onEnd(second.number, attempt_outcome::whole, {200, true}, std::nullopt, fixture.context(), fixture.now);
    CHECK(findAction<relay_response_end>(actions) != nullptr);
    CHECK(findAction<relay_full_response>(actions) == nullptr);
    CHECK_TRUE(stream.isDone());
}

// A stream that ends inside an event continues elsewhere if its route is resumable, and is broken off otherwise.
TEST(plain_stream, isNotCompleteInsideAnEvent)
{
    for (const bool isResumable : {false, true}) {
        forward_flow stream = flow(isResumable);
        flow_actions actions = stream.begin(fixture.context(), fixture.now);
        const attempt_number first = findAction<start_attempt>(actions)->number;
        stream.onHead(first, fixture.context(), fixture.now);
        stream.onBodyData(first, "id: 1\ndata: a\n\nid: 2\nda", fixture.context(), fixture.now);
        actions = stream.onEnd(first, attempt_outcome::whole, {200, true}, std::nullopt, fixture.context(), fixture.now);
        CHECK(findAction<relay_response_end>(actions) == nullptr);
        CHECK(findAction<relay_full_response>(actions) == nullptr);
        CHECK(isResumable == (findAction<start_attempt>(actions) != nullptr));
        CHECK(isResumable == (findAction<abort_response>(actions) == nullptr));
    }
}
