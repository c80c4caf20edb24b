#include "forwarding/event_splitter.h"

#include "forwarding/plan_fixture.h"

#include "support/property.h"

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

TEST_GROUP(continued_stream) {};

// Guards against a stream in which an event is missing or comes twice because another endpoint went on with it.
TEST(continued_stream, isAPrefixOfTheWholeStream)
{
    CHECK_PROPERTY("events of two endpoints are in order, or the second one is broken", [] {
        const auto event = [](int id) {
            return "id: " + std::to_string(id) + "\ndata: " + std::to_string(id) + "\n\n";
        };
        std::string whole;
        for (int id = 1; id <= 9; ++id) {
            whole += event(id);
        }
        const auto cut = *rc::gen::inRange<std::size_t>(0, whole.size());
        const int from = *rc::gen::inRange(1, 10);
        const int to = *rc::gen::inRange(from, 10);
        event_splitter events;
        events.beginOutput();
        std::string passedOn = events.take(std::string_view(whole).substr(0, cut));
        const std::int64_t last = events.lastId().value_or(0);
        events.beginOutput();
        for (int id = from; id <= to; ++id) {
            passedOn += events.take(event(id));
        }
        const bool hasGap = from > last + 1;
        // The numbering is known after two events.
        if (last >= 2) {
            RC_ASSERT(events.isBroken() == hasGap);
            RC_ASSERT(whole.compare(0, passedOn.size(), passedOn) == 0);
            RC_ASSERT(events.isBroken() || events.isUnfinished() == (to < last));
        }
    });
}

// Ids that are not consecutive are in order as long as they increase.
TEST(continued_stream, acceptsIdsWithGapsOfTheirOwn)
{
    event_splitter events;
    events.beginOutput();
    events.take("id: 10\ndata: a\n\nid: 20\ndata: b\n\n");
    events.beginOutput();
    STRCMP_EQUAL("id: 30\ndata: c\n\n", events.take("id: 20\ndata: b\n\nid: 30\ndata: c\n\n").c_str());
    CHECK_FALSE(events.isBroken());
    CHECK_FALSE(events.isUnfinished());
}

// Guards against the head of an error response within a stream.
TEST(continued_stream, containsNoResponseHead)
{
    event_splitter events;
    events.beginOutput();
    STRCMP_EQUAL("id: 1\ndata: a\n\n", events.take("id: 1\ndata: a\n\nHTTP/1.1 500 Error\r\nContent-Length: 3\r\n\r\nbad").c_str());
    CHECK_TRUE(events.isBroken());
    STRCMP_EQUAL("", events.take("id: 2\ndata: b\n\n").c_str());
}
