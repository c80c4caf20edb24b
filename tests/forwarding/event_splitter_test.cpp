#include "forwarding/event_splitter.h"

#include "forwarding/plan_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const start_attempt &beginDecode(plan_fixture &fixture, forward_flow &flow, flow_actions &actions)
{
    actions = flow.begin(fixture.context(), fixture.now);
    const attempt_number reservation = findAction<start_attempt>(actions)->number;
    actions = flow.onEnd(reservation, attempt_outcome::whole, {200, true}, "room", fixture.context(), fixture.now);
    const attempt_number prefill = findAction<start_attempt>(actions)->number;
    actions = flow.onEnd(prefill, attempt_outcome::whole, {200, true}, "handle", fixture.context(), fixture.now);
    return *findAction<start_attempt>(actions);
}

} // namespace

TEST_GROUP(endless_event)
{
    plan_fixture fixture;
};

// Guards against memory and processor time that grow with a stream whose event never ends: the attempt is cancelled, which closes its
// connection, and counts as a failure of its endpoint. A resumable stream continues elsewhere, any other is broken off.
TEST(endless_event, endsTheAttempt)
{
    for (const std::string route : {"stream", "resumed"}) {
        forward_flow flow = fixture.flow(route);
        flow_actions actions;
        const start_attempt decode = beginDecode(fixture, flow, actions);
        flow.onHead(decode.number, fixture.context(), fixture.now);
        actions = flow.onBodyData(decode.number, "id: 1\ndata: a\n\n", fixture.context(), fixture.now);
        CHECK(findAction<relay_body_data>(actions) != nullptr);
        std::size_t received = 0;
        const std::string endless(16 * 1024, 'a');
        while (findAction<cancel_flow_attempt>(actions) == nullptr && received < 8 * 1024 * 1024) {
            actions = flow.onBodyData(decode.number, endless, fixture.context(), fixture.now);
            received += endless.size();
        }
        CHECK(received < 1024 * 1024);
        CHECK(findAction<relay_body_data>(actions) == nullptr);
        CHECK(findAction<cancel_flow_attempt>(actions)->number == decode.number);
        CHECK(fixture.endpoints.find(decode.endpoint)->consecutiveFailures > 0);
        if (route == "stream") {
            CHECK(findAction<abort_response>(actions) != nullptr);
            CHECK_TRUE(flow.isDone());
        } else {
            CHECK(findAction<start_attempt>(actions)->attemptKind == attempt_kind::reserve);
        }
    }
}

// The first bytes of an event must not be processed again with each part of it: an event of a megabyte in parts of one byte took minutes.
TEST(endless_event, findsTheEndOfAnEventForEverySplit)
{
    const std::string text = "id: 1\r\ndata: a\r\n\r\nid: 2\ndata: b\n\nid: 3\ndata: c\n\r\n";
    for (std::size_t size = 1; size <= text.size(); ++size) {
        event_splitter events;
        std::string whole;
        for (std::size_t at = 0; at < text.size(); at += size) {
            whole += events.take(std::string_view(text).substr(at, size));
        }
        STRCMP_EQUAL(text.c_str(), whole.c_str());
        CHECK_FALSE(events.hasPartial());
        LONGS_EQUAL(3, *events.lastId());
    }
}
