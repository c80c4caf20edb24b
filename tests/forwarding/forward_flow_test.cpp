#include "forwarding/plan_fixture.h"

#include <array>
#include <map>
#include <string>

#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

bool executes(attempt_kind attemptKind)
{
    return attemptKind == attempt_kind::plain_call || attemptKind == attempt_kind::decode;
}

bool meansNotExecuted(refusal_cause cause)
{
    return cause != refusal_cause::timed_out && cause != refusal_cause::endpoint_failed;
}

/// Simulates endpoints with random behaviour and counts the executions of the request.
struct random_endpoints
{
    plan_fixture fixture;
    forward_flow flow;
    std::map<attempt_number, attempt_kind> open;
    int runs = 0;
    int concurrentRuns = 0;
    int maxConcurrentRuns = 0;
    int finalResponses = 0;
    bool wasRefusedAsNotExecuted = false;
    bool executedAfterRefusal = false;
    bool wasSentToUnavailableEndpoint = false;

    explicit random_endpoints(const std::string &route)
        : flow(fixture.flow(route))
    {
    }

    void take(const flow_actions &actions)
    {
        for (const flow_action &action : actions) {
            if (const auto *sent = std::get_if<start_attempt>(&action)) {
                open[sent->number] = sent->attemptKind;
                wasSentToUnavailableEndpoint = wasSentToUnavailableEndpoint || !fixture.endpoints.mayReceive(sent->endpoint, fixture.now);
                executedAfterRefusal = executedAfterRefusal || (wasRefusedAsNotExecuted && executes(sent->attemptKind));
            } else if (const auto *withdrawn = std::get_if<cancel_flow_attempt>(&action)) {
                open.erase(withdrawn->number);
            } else if (const auto *refusal = std::get_if<refuse_request>(&action)) {
                ++finalResponses;
                wasRefusedAsNotExecuted = meansNotExecuted(refusal->cause);
            } else if (std::holds_alternative<relay_full_response>(action) || std::holds_alternative<relay_response_end>(action)
                       || std::holds_alternative<abort_response>(action)) {
                ++finalResponses;
            }
        }
    }

    // An endpoint reports that it drains, or its entry is removed, or it is back.
    void changeEndpoint(std::uint8_t choice)
    {
        static const std::array<std::string, 8> names = {"p1", "p2", "p3", "r1", "r2", "d1", "d2", "d3"};
        const std::string &name = names.at(choice % names.size());
        const std::optional<engine_stage> stage = name[0] == 'r' ? engine_stage::prefill : engine_stage::decode;
        const bool isPlain = name[0] == 'p';
        endpoint_entry entry = plan_fixture::entry(name, isPlain ? "plain" : "engine", isPlain ? std::nullopt : stage);
        entry.isDraining = choice % 3 == 0;
        if (choice % 3 == 1) {
            fixture.endpoints.remove(entry.id);
        } else {
            fixture.endpoints.put(entry, fixture.plan->findService(entry.service), fixture.now);
        }
    }

    // One event, chosen by the number: the oldest open attempt ends in some way, or time passes.
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
        // A lost attempt may have been executed; the simulation assumes the worst case.
        const bool isExecuted = executes(attemptKind) && (end == attempt_outcome::whole || end == attempt_outcome::lost);
        runs += isExecuted ? 1 : 0;
        open.erase(number);
        const bool hasHandle = !executes(attemptKind) && end == attempt_outcome::whole;
        const response_summary answer = {choice % 3 == 0 ? 500 : 200, true};
        take(flow.onEnd(
            number, end, answer, hasHandle ? std::optional<std::string>("handle") : std::nullopt, fixture.context(), fixture.now));
    }
};

} // namespace

TEST_GROUP(forward_flow) {};

// A booking that is executed twice assigns one track to two wagons; one that was refused as not executed, and was executed, is booked again
// by its caller.
TEST(forward_flow, executesNonIdempotentRequestsAtMostOnceAndReportsRefusalsTruthfully)
{
    for (const std::string route : {"unsafe", "stream"}) {
        CHECK_PROPERTY("at most once", [route](const std::vector<std::uint8_t> &choices) {
            random_endpoints simulation(route);
            simulation.take(simulation.flow.begin(simulation.fixture.context(), simulation.fixture.now));
            for (const std::uint8_t choice : choices) {
                simulation.step(choice);
            }
            RC_ASSERT(simulation.runs <= 1);
            RC_ASSERT(!(simulation.wasRefusedAsNotExecuted && simulation.runs > 0));
            RC_ASSERT(!simulation.executedAfterRefusal);
        });
    }
}

// Every request gets exactly one final response by its deadline, whatever the endpoints do.
TEST(forward_flow, answersEveryRequestOnce)
{
    for (const std::string route : {"safe", "unsafe", "stream", "resumed"}) {
        CHECK_PROPERTY("one final answer", [route](const std::vector<std::uint8_t> &choices) {
            random_endpoints simulation(route);
            simulation.take(simulation.flow.begin(simulation.fixture.context(), simulation.fixture.now));
            for (const std::uint8_t choice : choices) {
                simulation.step(choice);
            }
            simulation.fixture.now += 10s;
            simulation.take(simulation.flow.onDeadline(simulation.fixture.context(), simulation.fixture.now));
            RC_ASSERT(simulation.finalResponses == 1);
        });
    }
}

// Guards against requests that reach an endpoint after it was learnt that it leaves, on whatever way to it: a search for capacity, a
// reservation or prefill made there before, a retry or a resumed stream (DRAIN).
TEST(forward_flow, sendsNothingToEndpointsThatHaveLeft)
{
    for (const std::string route : {"safe", "unsafe", "stream", "resumed"}) {
        CHECK_PROPERTY("no attempt at an endpoint that has left",
                       [route](const std::vector<std::pair<std::uint8_t, std::uint8_t>> &choices) {
                           random_endpoints simulation(route);
                           simulation.take(simulation.flow.begin(simulation.fixture.context(), simulation.fixture.now));
                           for (const auto &[change, end] : choices) {
                               simulation.changeEndpoint(change);
                               simulation.step(end);
                           }
                           RC_ASSERT(!simulation.wasSentToUnavailableEndpoint);
                       });
    }
}

TEST(forward_flow, limitsAttemptsToTheRoutesMaximum)
{
    CHECK_PROPERTY("attempts", [](const std::vector<std::uint8_t> &choices) {
        random_endpoints simulation("safe");
        int sent = 0;
        const auto count = [&](const flow_actions &actions) {
            for (const flow_action &action : actions) {
                sent += std::holds_alternative<start_attempt>(action) ? 1 : 0;
            }
            simulation.take(actions);
        };
        count(simulation.flow.begin(simulation.fixture.context(), simulation.fixture.now));
        for (const std::uint8_t choice : choices) {
            if (simulation.open.empty()) {
                break;
            }
            const auto number = simulation.open.begin()->first;
            simulation.open.erase(number);
            const attempt_outcome end = choice % 2 == 0 ? attempt_outcome::lost : attempt_outcome::rejected;
            count(simulation.flow.onEnd(number, end, {}, std::nullopt, simulation.fixture.context(), simulation.fixture.now));
        }
        RC_ASSERT(sent <= 2);
    });
}

// Guards against a request of a route with one attempt that is refused because one prefill endpoint sheds load, while others are free.
TEST(forward_flow, triesAnotherPrefillEndpointAfterARejection)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("single");
    std::optional<start_attempt> sent = *findAction<start_attempt>(flow.begin(fixture.context(), fixture.now));
    std::optional<endpoint_id> rejecting;
    int prefills = 0;
    while (sent) {
        const bool isRejected = !rejecting && sent->attemptKind == attempt_kind::prefill;
        prefills += sent->attemptKind == attempt_kind::prefill ? 1 : 0;
        CHECK(!rejecting || sent->endpoint != *rejecting);
        rejecting = isRejected ? std::optional(sent->endpoint) : rejecting;
        const flow_actions next = isRejected
            ? flow.onEnd(sent->number, attempt_outcome::rejected, {503, false}, std::nullopt, fixture.context(), fixture.now)
            : flow.onEnd(sent->number, attempt_outcome::whole, {200, true}, std::string("handle"), fixture.context(), fixture.now);
        CHECK(findAction<refuse_request>(next) == nullptr);
        const auto *following = findAction<start_attempt>(next);
        sent = following == nullptr ? std::nullopt : std::optional(*following);
    }
    CHECK_TRUE(flow.hasFinalResponse());
    LONGS_EQUAL(2, prefills);
}

// A request that every engine rejects must not be offered to all of them.
TEST(forward_flow, endsAfterRepeatedRejections)
{
    CHECK_PROPERTY("a bounded number of engines rejects a request, and one runs it", [](const std::vector<std::uint8_t> &choices) {
        random_endpoints simulation("single");
        int rejected = 0;
        simulation.take(simulation.flow.begin(simulation.fixture.context(), simulation.fixture.now));
        for (const std::uint8_t choice : choices) {
            if (simulation.open.empty()) {
                break;
            }
            const auto [number, kind] = *simulation.open.begin();
            simulation.open.erase(number);
            const bool isRejected = kind != attempt_kind::reserve && choice % 3 != 0;
            const bool hasHandle = kind != attempt_kind::decode && !isRejected;
            rejected += isRejected ? 1 : 0;
            simulation.runs += kind == attempt_kind::decode && !isRejected ? 1 : 0;
            simulation.take(simulation.flow.onEnd(number,
                                                  isRejected ? attempt_outcome::rejected : attempt_outcome::whole,
                                                  {isRejected ? 503 : 200, true},
                                                  hasHandle ? std::optional<std::string>("handle") : std::nullopt,
                                                  simulation.fixture.context(),
                                                  simulation.fixture.now));
        }
        RC_ASSERT(rejected <= 4);
        RC_ASSERT(simulation.runs <= 1);
        RC_ASSERT(!(simulation.wasRefusedAsNotExecuted && simulation.runs > 0));
    });
}

// Without a reservation before the prefill, 225 of 545 prompts in a day's run were processed in vain.
TEST(forward_flow, reservesCapacityBeforeThePrefill)
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

// Reserved capacity that is not used is withheld from other requests and paid for.
TEST(forward_flow, releasesTheReservationWhenTheCallerDisconnects)
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

// A booking whose caller has disconnected must still be executed once, because nobody requests it again.
TEST(forward_flow, completesNonIdempotentCallsWhenTheCallerDisconnects)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("unsafe");
    flow.begin(fixture.context(), fixture.now);
    const flow_actions actions = flow.onCallerDisconnected(fixture.context(), fixture.now);
    CHECK(findAction<cancel_flow_attempt>(actions) == nullptr);
    CHECK_FALSE(flow.isDone());
}

// The error response of a failed call must not reach the caller while another endpoint may still serve the request.
TEST(forward_flow, retriesFailedIdempotentCalls)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("safe");
    const flow_actions first = flow.begin(fixture.context(), fixture.now);
    const auto *sent = findAction<start_attempt>(first);
    const flow_actions second = flow.onEnd(sent->number, attempt_outcome::whole, {500, true}, std::nullopt, fixture.context(), fixture.now);
    const auto *retry = findAction<start_attempt>(second);
    CHECK(retry != nullptr);
    CHECK(retry->endpoint != sent->endpoint);
}

namespace
{

/// Advances a flow until its stream has started; returns the decode attempt.
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

// A stream that breaks in the middle of an event must resume after the last complete one, without a partial or duplicate event.
TEST(forward_flow, resumesBrokenStreamsAfterTheLastCompleteEvent)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("resumed");
    const start_attempt decode = beginStream(fixture, flow);
    const flow_actions pieces = flow.onBodyData(decode.number, "id: 1\ndata: a\n\nid: 2\nda", fixture.context(), fixture.now);
    STRCMP_EQUAL("id: 1\ndata: a\n\n", findAction<relay_body_data>(pieces)->bytes.c_str());
    const flow_actions broken = flow.onEnd(decode.number, attempt_outcome::lost, {}, std::nullopt, fixture.context(), fixture.now);
    const auto *retry = findAction<start_attempt>(broken);
    CHECK(retry != nullptr);
    CHECK(retry->resumeAfter == std::optional<std::int64_t>(1));
    flow.onHead(retry->number, fixture.context(), fixture.now);
    const flow_actions rest = flow.onBodyData(retry->number, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", fixture.context(), fixture.now);
    STRCMP_EQUAL("id: 2\ndata: b\n\n", findAction<relay_body_data>(rest)->bytes.c_str());
    CHECK(findAction<relay_response_head>(rest) == nullptr);
}

// A broken stream on a route that is not resumable must be visible to the caller as broken.
TEST(forward_flow, abortsBrokenStreamsThatCannotBeResumed)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("stream");
    const start_attempt decode = beginStream(fixture, flow);
    flow.onBodyData(decode.number, "id: 1\ndata: a\n\n", fixture.context(), fixture.now);
    const flow_actions broken = flow.onEnd(decode.number, attempt_outcome::lost, {}, std::nullopt, fixture.context(), fixture.now);
    CHECK(findAction<abort_response>(broken) != nullptr);
    CHECK(findAction<start_attempt>(broken) == nullptr);
}

// At the deadline the caller gets a response, and 504 because the call may have been executed.
TEST(forward_flow, answersAtTheDeadline)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("unsafe");
    flow.begin(fixture.context(), fixture.now);
    CHECK(flow.nextDeadline() <= deadline::after(fixture.now, 4s));
    fixture.now += 4s;
    const flow_actions actions = flow.onDeadline(fixture.context(), fixture.now);
    CHECK(findAction<refuse_request>(actions)->cause == refusal_cause::timed_out);
}

// When all prefill endpoints are behind, a prompt that joins their queue gets its first token late; a decode endpoint processes it at half
// the speed, but sooner.
TEST(forward_flow, skipsThePrefillWhenAllPrefillEndpointsAreBehind)
{
    plan_fixture fixture;
    const token_count prompt(1000);
    for (const auto &[prefillEndpoint, took] : {std::pair("r1", 30ms), std::pair("r1", 600ms), std::pair("r2", 600ms)}) {
        fixture.endpoints.noteSent(endpoint_id(prefillEndpoint), prompt, fixture.now - took);
        fixture.endpoints.noteEnded(endpoint_id(prefillEndpoint), prompt, fixture.now - took, false, health_verdict::good, fixture.now);
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
    // A decode that is lost may have been executed, no matter which endpoint processed the prompt.
    const flow_actions lost = flow.onEnd(decode->number, attempt_outcome::lost, {}, std::nullopt, fixture.context(), fixture.now);
    const auto *refused = findAction<refuse_request>(lost);
    CHECK(refused != nullptr && refused->cause == refusal_cause::endpoint_failed);
}

// A request that was not executed must not be charged to its workspace; one that may have been executed must.
TEST(forward_flow, reportsWhetherARefusedRequestMayHaveBeenExecuted)
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

// A request whose deadline passed before anything was sent, for example because its instance had been stopped, got a 503 without
// Retry-After (soak, seed 417).
TEST(forward_flow, setsRetryAfterWhenTheDeadlinePassesBeforeTheFirstAttempt)
{
    plan_fixture fixture;
    for (const char *route : {"safe", "unsafe", "stream", "resumed"}) {
        forward_flow expired = fixture.flow(route);
        const flow_actions refused = expired.begin(fixture.context(), fixture.now + 10s);
        CHECK(findAction<refuse_request>(refused)->cause == refusal_cause::expired);
        CHECK_TRUE(findAction<refuse_request>(refused)->retryAfter.has_value());
    }
}

// A deadline that stays in the past makes the dispatcher spin; this happened for a booking whose caller had disconnected, until the
// booking's deadline.
TEST(forward_flow, advancesItsDeadlineWheneverOneHasPassed)
{
    for (const std::string route : {"safe", "unsafe", "stream", "resumed"}) {
        CHECK_PROPERTY("deadline lies ahead", [route](const std::vector<std::uint8_t> &choices, bool isCallerLeaving) {
            random_endpoints simulation(route);
            simulation.take(simulation.flow.begin(simulation.fixture.context(), simulation.fixture.now));
            for (const std::uint8_t choice : choices) {
                simulation.step(choice);
            }
            if (isCallerLeaving) {
                simulation.take(simulation.flow.onCallerDisconnected(simulation.fixture.context(), simulation.fixture.now));
            }
            for (int step = 0; step < 60 && !simulation.flow.isDone(); ++step) {
                simulation.fixture.now += 100ms;
                simulation.take(simulation.flow.onDeadline(simulation.fixture.context(), simulation.fixture.now));
                RC_ASSERT(simulation.flow.isDone() || !simulation.flow.nextDeadline().hasPassed(simulation.fixture.now));
            }
        });
    }
}

// A prompt must not be processed again elsewhere while the prefill endpoint that processed it, or its cache, is still available.
TEST(forward_flow, reusesThePrefillAfterALostDecode)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("resumed");
    const auto next = [&](const flow_actions &actions, attempt_kind attemptKind) {
        const auto *sent = findAction<start_attempt>(actions);
        CHECK(sent != nullptr && sent->attemptKind == attemptKind);
        return *sent;
    };
    const auto end = [&](const start_attempt &sent, attempt_outcome outcome, const std::optional<std::string> &handle) {
        return flow.onEnd(
            sent.number, outcome, {outcome == attempt_outcome::whole ? 200 : 0, true}, handle, fixture.context(), fixture.now);
    };
    const start_attempt reserve = next(flow.begin(fixture.context(), fixture.now), attempt_kind::reserve);
    const start_attempt decode = [&] {
        const start_attempt prefill = next(end(reserve, attempt_outcome::whole, "room"), attempt_kind::prefill);
        return next(end(prefill, attempt_outcome::whole, "handle"), attempt_kind::decode);
    }();
    CHECK_FALSE(decode.fetchFrom.has_value());
    const start_attempt retry = next(end(decode, attempt_outcome::lost, std::nullopt), attempt_kind::reserve);
    const start_attempt repeated = next(end(retry, attempt_outcome::whole, "room2"), attempt_kind::decode);
    CHECK_FALSE(repeated.source.has_value());
    CHECK(repeated.fetchFrom == decode.source->address);
}

// When only the response to a prefill is lost, the prompt must not be processed a second time elsewhere.
TEST(forward_flow, retriesAtTheSamePrefillEndpointAfterALostResponse)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("resumed");
    const flow_actions begun = flow.begin(fixture.context(), fixture.now);
    const attempt_number reserveNumber = findAction<start_attempt>(begun)->number;
    const flow_actions reserved =
        flow.onEnd(reserveNumber, attempt_outcome::whole, {200, true}, std::string("room"), fixture.context(), fixture.now);
    const start_attempt prefill = *findAction<start_attempt>(reserved);
    const flow_actions lost = flow.onEnd(prefill.number, attempt_outcome::lost, {}, std::nullopt, fixture.context(), fixture.now);
    const auto *retry = findAction<start_attempt>(lost);
    CHECK(retry != nullptr && retry->attemptKind == attempt_kind::prefill);
    CHECK(retry->endpoint == prefill.endpoint);
}

// A reservation at a cold endpoint used up the instance's share of the cold rate, and the decode needed it a second time, so requests were
// refused after their prompt had been processed (cvgc-shelf scale-2: 75 requests).
TEST(forward_flow, decodesAtAColdEndpointWithItsReservation)
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
    CHECK_FALSE(fixture.endpoints.takeColdStartToken(decode.endpoint, fixture.now));
}

// The result of a prefill must stay available when the endpoint with the reservation leaves meanwhile and another one generates.
TEST(forward_flow, keepsThePrefillWhenTheReservedEndpointLeaves)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("stream");
    const flow_actions begun = flow.begin(fixture.context(), fixture.now);
    const start_attempt reserve = *findAction<start_attempt>(begun);
    const flow_actions reserved =
        flow.onEnd(reserve.number, attempt_outcome::whole, {200, true}, std::string("room"), fixture.context(), fixture.now);
    const start_attempt prefill = *findAction<start_attempt>(reserved);
    endpoint_entry draining = plan_fixture::entry(reserve.endpoint.value(), "engine", engine_stage::decode);
    draining.isDraining = true;
    fixture.endpoints.put(draining, nullptr, fixture.now);
    const flow_actions moved =
        flow.onEnd(prefill.number, attempt_outcome::whole, {200, true}, std::string("handle"), fixture.context(), fixture.now);
    const auto *decode = findAction<start_attempt>(moved);
    CHECK(decode != nullptr && decode->source.has_value());
    CHECK(decode->endpoint != reserve.endpoint);
    CHECK(findAction<release_reservation>(moved) != nullptr);
    CHECK(findAction<release_handle>(moved) == nullptr);
}

// While the handles of an engine expire at once, every prefill there is wasted (cvgc-shelf scale-2, handle_short).
TEST(forward_flow, avoidsPrefillEndpointsWhoseHandlesHaveExpired)
{
    plan_fixture fixture;
    forward_flow first = fixture.flow("resumed");
    start_attempt sent = *findAction<start_attempt>(first.begin(fixture.context(), fixture.now));
    endpoint_id prefillEndpoint;
    while (sent.attemptKind != attempt_kind::decode) {
        prefillEndpoint = sent.attemptKind == attempt_kind::prefill ? sent.endpoint : prefillEndpoint;
        sent = *findAction<start_attempt>(
            first.onEnd(sent.number, attempt_outcome::whole, {200, true}, std::string("handle"), fixture.context(), fixture.now));
    }
    first.onEnd(sent.number, attempt_outcome::rejected, {503, false}, std::nullopt, fixture.context(), fixture.now);
    for (int round = 0; round < 20; ++round) {
        const auto *chosen =
            fixture.endpoints.choose(service_id("engine"), attempt_kind::prefill, {}, {}, nullptr, fixture.now, fixture.random);
        CHECK(chosen->entry.id != prefillEndpoint);
    }
    // When handles expire at all prefill endpoints, the decode endpoint processes the prompt.
    for (const char *name : {"r1", "r2"}) {
        fixture.endpoints.noteHandleExpired(endpoint_id(name), fixture.now);
    }
    forward_flow second = fixture.flow("stream");
    const start_attempt reserve = *findAction<start_attempt>(second.begin(fixture.context(), fixture.now));
    const flow_actions reserved =
        second.onEnd(reserve.number, attempt_outcome::whole, {200, true}, std::string("room"), fixture.context(), fixture.now);
    CHECK(findAction<start_attempt>(reserved)->attemptKind == attempt_kind::decode);
}

// A newly started instance gave up prefill endpoints that were only busy, so prompts were processed twice after each restart of all
// instances.
TEST(forward_flow, waitsForPrefillEndpointsOfUnknownSpeed)
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("resumed");
    const start_attempt reserve = *findAction<start_attempt>(flow.begin(fixture.context(), fixture.now));
    flow.onEnd(reserve.number, attempt_outcome::whole, {200, true}, std::string("room"), fixture.context(), fixture.now);
    fixture.now += 600ms;
    const flow_actions later = flow.onDeadline(fixture.context(), fixture.now);
    CHECK(findAction<cancel_flow_attempt>(later) == nullptr);
}

// Reserving capacity for the longest possible output keeps a third of an engine's memory unused; the caller's estimate must reserve no more
// than that, and no less than a minimum.
TEST(forward_flow, reservesCapacityForTheExpectedOutput)
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
