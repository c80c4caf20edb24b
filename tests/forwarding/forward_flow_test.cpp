#include "forwarding/plan_fixture.h"

#include <map>

#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

bool isRunDuty(attempt_kind attemptKind)
{
    return attemptKind == attempt_kind::plain_call || attemptKind == attempt_kind::decode;
}

bool saysNotRun(refusal_cause cause)
{
    return cause != refusal_cause::timed_out && cause != refusal_cause::endpoint_failed;
}

/// Plays endpoints that do anything an endpoint may do, and keeps count of what has really run.
struct random_play
{
    plan_fixture fixture;
    forward_flow flow;
    std::map<attempt_number, attempt_kind> open;
    int runs = 0;
    int runsAtOnce = 0;
    int mostRunsAtOnce = 0;
    int finalAnswers = 0;
    bool wasRefusedAsNotRun = false;
    bool ranAfterRefusal = false;

    explicit random_play(const std::string &route)
        : flow(fixture.flow(route))
    {
    }

    void take(const flow_actions &actions)
    {
        for (const flow_action &action : actions) {
            if (const auto *sent = std::get_if<start_attempt>(&action)) {
                open[sent->number] = sent->attemptKind;
                ranAfterRefusal = ranAfterRefusal || (wasRefusedAsNotRun && isRunDuty(sent->attemptKind));
            } else if (const auto *withdrawn = std::get_if<cancel_flow_attempt>(&action)) {
                open.erase(withdrawn->number);
            } else if (const auto *refusal = std::get_if<refuse_request>(&action)) {
                ++finalAnswers;
                wasRefusedAsNotRun = saysNotRun(refusal->cause);
            } else if (std::holds_alternative<relay_full_response>(action) || std::holds_alternative<relay_response_end>(action)
                       || std::holds_alternative<abort_response>(action)) {
                ++finalAnswers;
            }
        }
    }

    // One event, chosen by the number: how the oldest open attempt goes on, or that time passes.
    void step(std::uint8_t choice)
    {
        fixture.now += std::chrono::milliseconds(choice);
        if (open.empty() || choice % 8 == 7) {
            take(flow.onDeadline(fixture.context(), fixture.now));
            return;
        }
        const auto [number, attemptKind] = *open.begin();
        const attempt_outcome ends[] = {attempt_outcome::whole,
                                        attempt_outcome::rejected,
                                        attempt_outcome::misdirected,
                                        attempt_outcome::not_sent,
                                        attempt_outcome::lost};
        const attempt_outcome end = ends[choice % 5];
        // A lost attempt may have run; the play takes the worst.
        const bool executesRequest = isRunDuty(attemptKind) && (end == attempt_outcome::whole || end == attempt_outcome::lost);
        runs += executesRequest ? 1 : 0;
        open.erase(number);
        const bool hasHandle = !isRunDuty(attemptKind) && end == attempt_outcome::whole;
        const response_summary answer = {choice % 3 == 0 ? 500 : 200, true};
        take(flow.onEnd(
            number, end, answer, hasHandle ? std::optional<std::string>("handle") : std::nullopt, fixture.context(), fixture.now));
    }
};

} // namespace

TEST_GROUP(forward_flow) {};

// A booking that runs twice promises one track to two wagons; one that was refused as "not run" and runs is booked again by its caller.
TEST(forward_flow, runsNonIdempotentRequestsAtMostOnceAndRefusesTruly)
{
    for (const std::string route : {"unsafe", "stream"}) {
        CHECK_PROPERTY("at most once", [route](const std::vector<std::uint8_t> &choices) {
            random_play play(route);
            play.take(play.flow.begin(play.fixture.context(), play.fixture.now));
            for (const std::uint8_t choice : choices) {
                play.step(choice);
            }
            RC_ASSERT(play.runs <= 1);
            RC_ASSERT(!(play.wasRefusedAsNotRun && play.runs > 0));
            RC_ASSERT(!play.ranAfterRefusal);
        });
    }
}

// Every request has exactly one final answer once its time is over, whatever the endpoints do.
TEST(forward_flow, answersEveryRequestOnce)
{
    for (const std::string route : {"safe", "unsafe", "stream", "resumed"}) {
        CHECK_PROPERTY("one final answer", [route](const std::vector<std::uint8_t> &choices) {
            random_play play(route);
            play.take(play.flow.begin(play.fixture.context(), play.fixture.now));
            for (const std::uint8_t choice : choices) {
                play.step(choice);
            }
            play.fixture.now += 10s;
            play.take(play.flow.onDeadline(play.fixture.context(), play.fixture.now));
            RC_ASSERT(play.finalAnswers == 1);
        });
    }
}

TEST(forward_flow, sendsRequestsToNoMoreEndpointsThanTheRouteAllows)
{
    CHECK_PROPERTY("attempts", [](const std::vector<std::uint8_t> &choices) {
        random_play play("safe");
        int sent = 0;
        const auto count = [&](const flow_actions &actions) {
            for (const flow_action &action : actions) {
                sent += std::holds_alternative<start_attempt>(action) ? 1 : 0;
            }
            play.take(actions);
        };
        count(play.flow.begin(play.fixture.context(), play.fixture.now));
        for (const std::uint8_t choice : choices) {
            if (play.open.empty()) {
                break;
            }
            const auto number = play.open.begin()->first;
            play.open.erase(number);
            const attempt_outcome end = choice % 2 == 0 ? attempt_outcome::lost : attempt_outcome::rejected;
            count(play.flow.onEnd(number, end, {}, std::nullopt, play.fixture.context(), play.fixture.now));
        }
        RC_ASSERT(sent <= 2);
    });
}

// 225 of 545 prompts of a day were read in vain before room was reserved first.
TEST(forward_flow, reservesRoomBeforeThePromptIsRead)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("stream");
    const flow_actions first = flow.begin(fixture.context(), fixture.now);
    const auto *reservation = findAction<start_attempt>(first);
    CHECK(reservation != nullptr && reservation->attemptKind == attempt_kind::reserve);
    const endpoint_id chosen = reservation->endpoint;
    const flow_actions second =
        flow.onEnd(reservation->number, attempt_outcome::whole, {200, false}, "room", fixture.context(), fixture.now);
    const auto *prefill = findAction<start_attempt>(second);
    CHECK(prefill != nullptr && prefill->attemptKind == attempt_kind::prefill);
    const flow_actions third = flow.onEnd(prefill->number, attempt_outcome::whole, {200, false}, "handle", fixture.context(), fixture.now);
    const auto *decode = findAction<start_attempt>(third);
    CHECK(decode != nullptr && decode->attemptKind == attempt_kind::decode);
    CHECK(decode->endpoint == chosen);
    CHECK(decode->capacityReservation.has_value());
    CHECK(decode->source.has_value());
}

// Room that is set aside and not used is kept from others and paid for.
TEST(forward_flow, releasesRoomWhenTheCallerLeaves)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("stream");
    const flow_actions first = flow.begin(fixture.context(), fixture.now);
    const attempt_number number = findAction<start_attempt>(first)->number;
    flow.onEnd(number, attempt_outcome::whole, {200, false}, "room", fixture.context(), fixture.now);
    const flow_actions last = flow.onCallerDisconnected(fixture.context(), fixture.now);
    CHECK(findAction<release_reservation>(last) != nullptr);
    CHECK(findAction<cancel_flow_attempt>(last) != nullptr);
    CHECK_TRUE(flow.isDone());
}

// A booking whose caller has left still lands once; nobody asks for it again.
TEST(forward_flow, leavesANonIdempotentCallRunningWhenTheCallerLeaves)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("unsafe");
    flow.begin(fixture.context(), fixture.now);
    const flow_actions actions = flow.onCallerDisconnected(fixture.context(), fixture.now);
    CHECK(findAction<cancel_flow_attempt>(actions) == nullptr);
    CHECK_FALSE(flow.isDone());
}

// The whole answer of a failed call must not reach the caller while another endpoint may serve it.
TEST(forward_flow, repeatsAnIdempotentCallThatFailed)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("safe");
    const flow_actions first = flow.begin(fixture.context(), fixture.now);
    const auto *sent = findAction<start_attempt>(first);
    const flow_actions second = flow.onEnd(sent->number, attempt_outcome::whole, {500, true}, std::nullopt, fixture.context(), fixture.now);
    const auto *again = findAction<start_attempt>(second);
    CHECK(again != nullptr);
    CHECK(again->endpoint != sent->endpoint);
}

namespace
{

/// Brings a flow to the point at which its stream runs; returns the decode attempt.
start_attempt beginStream(plan_fixture &fixture, forward_flow &flow)
{
    flow_actions actions = flow.begin(fixture.context(), fixture.now);
    CHECK(findAction<start_attempt>(actions) != nullptr);
    while (findAction<start_attempt>(actions)->attemptKind != attempt_kind::decode) {
        const attempt_number number = findAction<start_attempt>(actions)->number;
        actions = flow.onEnd(number, attempt_outcome::whole, {200, false}, "handle", fixture.context(), fixture.now);
        CHECK(findAction<start_attempt>(actions) != nullptr);
    }
    start_attempt decode = *findAction<start_attempt>(actions);
    flow.onHead(decode.number, fixture.context(), fixture.now);
    return decode;
}

} // namespace

// A stream that breaks in the middle of an event goes on behind the last whole one, without half an event or a doubled one.
TEST(forward_flow, resumesABrokenStreamBehindItsLastWholeEvent)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("resumed");
    const start_attempt decode = beginStream(fixture, flow);
    const flow_actions pieces = flow.onBodyData(decode.number, "id: 1\ndata: a\n\nid: 2\nda", fixture.context(), fixture.now);
    STRCMP_EQUAL("id: 1\ndata: a\n\n", findAction<relay_body_data>(pieces)->bytes.c_str());
    const flow_actions broken = flow.onEnd(decode.number, attempt_outcome::lost, {}, std::nullopt, fixture.context(), fixture.now);
    const auto *again = findAction<start_attempt>(broken);
    CHECK(again != nullptr);
    CHECK(again->resumeAfter == std::optional<std::int64_t>(1));
    flow.onHead(again->number, fixture.context(), fixture.now);
    const flow_actions rest = flow.onBodyData(again->number, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", fixture.context(), fixture.now);
    STRCMP_EQUAL("id: 2\ndata: b\n\n", findAction<relay_body_data>(rest)->bytes.c_str());
    CHECK(findAction<relay_response_head>(rest) == nullptr);
}

// A broken stream of a route that is not resumable must look broken.
TEST(forward_flow, breaksOffAStreamThatCannotBeResumed)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("stream");
    const start_attempt decode = beginStream(fixture, flow);
    flow.onBodyData(decode.number, "id: 1\ndata: a\n\n", fixture.context(), fixture.now);
    const flow_actions broken = flow.onEnd(decode.number, attempt_outcome::lost, {}, std::nullopt, fixture.context(), fixture.now);
    CHECK(findAction<abort_response>(broken) != nullptr);
    CHECK(findAction<start_attempt>(broken) == nullptr);
}

// At the route's time limit the caller has its answer, and 504 because the call may have run.
TEST(forward_flow, answersAtTheTimeLimit)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("unsafe");
    flow.begin(fixture.context(), fixture.now);
    CHECK(flow.nextDeadline() <= deadline::after(fixture.now, 4s));
    fixture.now += 4s;
    const flow_actions actions = flow.onDeadline(fixture.context(), fixture.now);
    CHECK(findAction<refuse_request>(actions)->cause == refusal_cause::timed_out);
}

// With all readers behind, a prompt that joins their queue has its first token late; a decode endpoint reads it at half the speed.
TEST(forward_flow, letsTheDecodeEndpointReadWhenAllReadersAreBehind)
{
    plan_fixture fixture;
    const token_count prompt(1000);
    for (const auto &[reader, took] : {std::pair("r1", 30ms), std::pair("r1", 600ms), std::pair("r2", 600ms)}) {
        fixture.endpoints.noteSent(endpoint_id(reader), prompt, fixture.now - took);
        fixture.endpoints.noteEnded(endpoint_id(reader), prompt, fixture.now - took, false, endpoint_verdict::good, fixture.now);
    }
    forward_flow flow = fixture.flow("stream");
    const flow_actions begun = flow.begin(fixture.context(), fixture.now);
    const auto *reserve = findAction<start_attempt>(begun);
    CHECK(reserve != nullptr && reserve->attemptKind == attempt_kind::reserve);
    const flow_actions reserved =
        flow.onEnd(reserve->number, attempt_outcome::whole, {200, true}, std::string("room"), fixture.context(), fixture.now);
    const auto *decode = findAction<start_attempt>(reserved);
    CHECK(decode != nullptr);
    CHECK(decode->attemptKind == attempt_kind::decode);
    CHECK(decode->capacityReservation.has_value());
    CHECK_FALSE(decode->source.has_value());
    // A run that is lost may have happened, whoever read the prompt.
    const flow_actions lost = flow.onEnd(decode->number, attempt_outcome::lost, {}, std::nullopt, fixture.context(), fixture.now);
    const auto *refused = findAction<refuse_request>(lost);
    CHECK(refused != nullptr && refused->cause == refusal_cause::endpoint_failed);
}

// A request that did not run must not count against its workspace; one that may have run must.
TEST(forward_flow, saysWhetherARefusedRequestHasRun)
{
    plan_fixture fixture;
    forward_flow lost = fixture.flow("unsafe");
    const flow_actions sent = lost.begin(fixture.context(), fixture.now);
    const auto number = findAction<start_attempt>(sent)->number;
    const flow_actions failed = lost.onEnd(number, attempt_outcome::lost, {}, std::nullopt, fixture.context(), fixture.now);
    CHECK_FALSE(findAction<refuse_request>(failed)->isNotExecuted);
    forward_flow late = fixture.flow("unsafe");
    late.begin(fixture.context(), fixture.now);
    fixture.now += 6s;
    const flow_actions timedOut = late.onDeadline(fixture.context(), fixture.now);
    CHECK_FALSE(findAction<refuse_request>(timedOut)->isNotExecuted);
    forward_flow expired = fixture.flow("unsafe");
    const flow_actions refused = expired.begin(fixture.context(), fixture.now + 10s);
    CHECK_TRUE(findAction<refuse_request>(refused)->isNotExecuted);
}

// A request whose time was over before anything was sent, as after its instance had been stopped, got a 503 without a time to come back
// (soak, seed 417).
TEST(forward_flow, tellsWhenToComeBackWhenTheTimeIsOverBeforeAnythingIsSent)
{
    plan_fixture fixture;
    for (const char *route : {"safe", "unsafe", "stream", "resumed"}) {
        forward_flow expired = fixture.flow(route);
        const flow_actions refused = expired.begin(fixture.context(), fixture.now + 10s);
        CHECK(findAction<refuse_request>(refused)->cause == refusal_cause::expired);
        CHECK_TRUE(findAction<refuse_request>(refused)->retryAfter.has_value());
    }
}

// A deadline that stays in the past makes the dispatcher spin on it; a booking whose caller had left did so until its time was over.
TEST(forward_flow, movesItsDeadlineOnWheneverOneHasPassed)
{
    for (const std::string route : {"safe", "unsafe", "stream", "resumed"}) {
        CHECK_PROPERTY("deadline lies ahead", [route](const std::vector<std::uint8_t> &choices, bool isCallerLeaving) {
            random_play play(route);
            play.take(play.flow.begin(play.fixture.context(), play.fixture.now));
            for (const std::uint8_t choice : choices) {
                play.step(choice);
            }
            if (isCallerLeaving) {
                play.take(play.flow.onCallerDisconnected(play.fixture.context(), play.fixture.now));
            }
            for (int step = 0; step < 60 && !play.flow.isDone(); ++step) {
                play.fixture.now += 100ms;
                play.take(play.flow.onDeadline(play.fixture.context(), play.fixture.now));
                RC_ASSERT(play.flow.isDone() || !play.flow.nextDeadline().hasPassed(play.fixture.now));
            }
        });
    }
}

// Guards against a prompt that is read again elsewhere while the reader that has read it, or its cache, is still there.
TEST(forward_flow, goesBackToTheReaderWhosePromptIsRead)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("resumed");
    const auto next = [&](const flow_actions &actions, attempt_kind attemptKind) {
        const auto *sent = findAction<start_attempt>(actions);
        CHECK(sent != nullptr && sent->attemptKind == attemptKind);
        return *sent;
    };
    const auto end = [&](const start_attempt &sent, attempt_outcome how, const std::optional<std::string> &handle) {
        return flow.onEnd(sent.number, how, {how == attempt_outcome::whole ? 200 : 0, true}, handle, fixture.context(), fixture.now);
    };
    const start_attempt reserve = next(flow.begin(fixture.context(), fixture.now), attempt_kind::reserve);
    const start_attempt decode = [&] {
        const start_attempt read = next(end(reserve, attempt_outcome::whole, "room"), attempt_kind::prefill);
        return next(end(read, attempt_outcome::whole, "handle"), attempt_kind::decode);
    }();
    CHECK_FALSE(decode.fetchFrom.has_value());
    const start_attempt again = next(end(decode, attempt_outcome::lost, std::nullopt), attempt_kind::reserve);
    const start_attempt repeated = next(end(again, attempt_outcome::whole, "room2"), attempt_kind::decode);
    CHECK_FALSE(repeated.source.has_value());
    CHECK(repeated.fetchFrom == decode.source->address);
}

// Guards against a second reading when only the answer of the first one was lost.
TEST(forward_flow, asksTheSameReaderAgainWhenItsAnswerIsLost)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("resumed");
    const flow_actions begun = flow.begin(fixture.context(), fixture.now);
    const attempt_number reserveNumber = findAction<start_attempt>(begun)->number;
    const flow_actions reserved =
        flow.onEnd(reserveNumber, attempt_outcome::whole, {200, true}, std::string("room"), fixture.context(), fixture.now);
    const start_attempt read = *findAction<start_attempt>(reserved);
    const flow_actions lost = flow.onEnd(read.number, attempt_outcome::lost, {}, std::nullopt, fixture.context(), fixture.now);
    const auto *again = findAction<start_attempt>(lost);
    CHECK(again != nullptr && again->attemptKind == attempt_kind::prefill);
    CHECK(again->endpoint == read.endpoint);
}

// Requests were refused behind a prompt that had been read, because room at a cold endpoint used up the instance's share of its rate and
// the run needed another (cvgc-shelf scale-2: 75 requests).
TEST(forward_flow, runsWhereItHasRoomAtAColdEndpoint)
{
    plan_fixture fixture;
    traffic_service profile = plan_fixture::service("engine", true);
    profile.coldRequestsPerSecond = 8.0;
    fixture.setInstances(8);
    for (const char *name : {"d1", "d2", "d3"}) {
        endpoint_entry cold = plan_fixture::entry(name, "engine", engine_stage::decode);
        cold.coldRemaining = 3s;
        fixture.endpoints.put(cold, &profile, fixture.now);
    }
    forward_flow flow = fixture.flow("stream");
    const start_attempt decode = beginStream(fixture, flow);
    CHECK(decode.attemptKind == attempt_kind::decode);
    CHECK(decode.capacityReservation.has_value());
    CHECK_FALSE(fixture.endpoints.takeColdShare(decode.endpoint, fixture.now));
}

// A prompt that has been read must stay fetchable when the endpoint with room leaves meanwhile and another one generates.
TEST(forward_flow, keepsThePromptWhenTheEndpointWithRoomLeaves)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("stream");
    const flow_actions begun = flow.begin(fixture.context(), fixture.now);
    const start_attempt reserve = *findAction<start_attempt>(begun);
    const flow_actions reserved =
        flow.onEnd(reserve.number, attempt_outcome::whole, {200, true}, std::string("room"), fixture.context(), fixture.now);
    const start_attempt read = *findAction<start_attempt>(reserved);
    endpoint_entry leaving = plan_fixture::entry(reserve.endpoint.value(), "engine", engine_stage::decode);
    leaving.isDraining = true;
    fixture.endpoints.put(leaving, nullptr, fixture.now);
    const flow_actions moved =
        flow.onEnd(read.number, attempt_outcome::whole, {200, true}, std::string("handle"), fixture.context(), fixture.now);
    const auto *decode = findAction<start_attempt>(moved);
    CHECK(decode != nullptr && decode->source.has_value());
    CHECK(decode->endpoint != reserve.endpoint);
    CHECK(findAction<release_reservation>(moved) != nullptr);
    CHECK(findAction<release_handle>(moved) == nullptr);
}

// While an engine's handles lapse at once, each prompt that it reads is read for nothing (cvgc-shelf scale-2, handle_short).
TEST(forward_flow, avoidsReadersWhoseHandlesHaveLapsed)
{
    plan_fixture fixture;
    forward_flow first = fixture.flow("resumed");
    start_attempt sent = *findAction<start_attempt>(first.begin(fixture.context(), fixture.now));
    endpoint_id reader;
    while (sent.attemptKind != attempt_kind::decode) {
        reader = sent.attemptKind == attempt_kind::prefill ? sent.endpoint : reader;
        sent = *findAction<start_attempt>(
            first.onEnd(sent.number, attempt_outcome::whole, {200, true}, std::string("handle"), fixture.context(), fixture.now));
    }
    first.onEnd(sent.number, attempt_outcome::rejected, {503, false}, std::nullopt, fixture.context(), fixture.now);
    for (int round = 0; round < 20; ++round) {
        const auto *chosen =
            fixture.endpoints.choose(service_id("engine"), attempt_kind::prefill, {}, {}, nullptr, fixture.now, fixture.random);
        CHECK(chosen->entry.id != reader);
    }
    // Handles that lapse everywhere leave the reading to the endpoint that generates.
    for (const char *name : {"r1", "r2"}) {
        fixture.endpoints.noteHandleLapsed(endpoint_id(name), fixture.now);
    }
    forward_flow second = fixture.flow("stream");
    const start_attempt reserve = *findAction<start_attempt>(second.begin(fixture.context(), fixture.now));
    const flow_actions reserved =
        second.onEnd(reserve.number, attempt_outcome::whole, {200, true}, std::string("room"), fixture.context(), fixture.now);
    CHECK(findAction<start_attempt>(reserved)->attemptKind == attempt_kind::decode);
}

// An instance that has just started gave up readers that were only busy, and prompts were read twice after each loss of all instances.
TEST(forward_flow, waitsForAReaderWhoseSpeedItDoesNotKnowYet)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("resumed");
    const start_attempt reserve = *findAction<start_attempt>(flow.begin(fixture.context(), fixture.now));
    flow.onEnd(reserve.number, attempt_outcome::whole, {200, true}, std::string("room"), fixture.context(), fixture.now);
    fixture.now += 600ms;
    const flow_actions later = flow.onDeadline(fixture.context(), fixture.now);
    CHECK(findAction<cancel_flow_attempt>(later) == nullptr);
}

// Room for the longest possible answer keeps a third of an engine's memory empty; a caller's estimate must not ask for more than that, nor
// for next to nothing.
TEST(forward_flow, setsRoomAsideForTheOutputThatIsExpected)
{
    plan_fixture fixture;
    const auto roomFor = [&fixture](std::optional<token_count> expected) {
        admitted_request request = fixture.flow("stream").request();
        request.facts.outputTokenLimit = token_count(1280);
        request.facts.expectedOutputTokens = expected;
        forward_flow flow(request);
        const flow_actions begun = flow.begin(fixture.context(), fixture.now);
        return findAction<start_attempt>(begun)->tokens.value() - request.facts.promptTokens->value();
    };
    LONGS_EQUAL(1280, roomFor(std::nullopt));
    LONGS_EQUAL(600, roomFor(token_count(400)));
    LONGS_EQUAL(1280, roomFor(token_count(5000)));
    LONGS_EQUAL(300, roomFor(token_count(1)));
}
