#include "forwarding/plan_fixture.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>

#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto longSilence = 1200ms;

/// A resumable stream that has relayed one event.
struct running_stream
{
    plan_fixture fixture;
    forward_flow flow = fixture.flow("resumed");
    start_attempt decode;

    running_stream()
    {
        flow_actions actions = flow.begin(fixture.context(), fixture.now);
        while (findAction<start_attempt>(actions)->attemptKind != attempt_kind::decode) {
            actions = end(*findAction<start_attempt>(actions), attempt_outcome::whole, "first");
        }
        decode = *findAction<start_attempt>(actions);
        flow.onHead(decode.number, fixture.context(), fixture.now);
        speak(1);
    }

    flow_actions end(const start_attempt &attempt, attempt_outcome outcome, const std::optional<std::string> &handle = std::nullopt)
    {
        const response_summary response = {outcome == attempt_outcome::whole ? 200 : 0, true};
        return flow.onEnd(attempt.number, outcome, response, handle, fixture.context(), fixture.now);
    }

    flow_actions speak(int id)
    {
        const std::string event = "id: " + std::to_string(id) + "\ndata: a\n\n";
        return flow.onBodyData(decode.number, event, fixture.context(), fixture.now);
    }

    flow_actions pass(std::chrono::milliseconds time)
    {
        fixture.now += time;
        return flow.onDeadline(fixture.context(), fixture.now);
    }
};

} // namespace

TEST_GROUP(silent_decode) {};

// A stream whose endpoint paused was cancelled first and cut afterwards because no other endpoint had capacity, although its endpoint was
// still generating (issue 18, LOST).
TEST(silent_decode, goesOnWhenNoOtherEndpointHasCapacity)
{
    running_stream stream;
    flow_actions actions = stream.pass(longSilence);
    for (int step = 0; step < 40; ++step) {
        CHECK(findAction<cancel_flow_attempt>(actions) == nullptr);
        CHECK(findAction<abort_response>(actions) == nullptr);
        const auto *sent = findAction<start_attempt>(actions);
        if (sent != nullptr) {
            CHECK(sent->attemptKind == attempt_kind::reserve);
            actions = stream.end(*sent, attempt_outcome::rejected);
        } else {
            actions = stream.pass(30ms);
        }
    }
    const flow_actions relayed = stream.speak(2);
    CHECK(findAction<relay_body_data>(relayed) != nullptr);
    const flow_actions last = stream.end(stream.decode, attempt_outcome::whole);
    CHECK(findAction<relay_response_end>(last) != nullptr);
    CHECK_TRUE(stream.flow.isDone());
}

// A stream must not be generated at two endpoints, and must not wait for the pause to end once another endpoint has capacity.
TEST(silent_decode, isReplacedOnceAnotherEndpointHasCapacity)
{
    running_stream stream;
    const flow_actions searching = stream.pass(longSilence);
    CHECK(findAction<cancel_flow_attempt>(searching) == nullptr);
    const flow_actions replaced = stream.end(*findAction<start_attempt>(searching), attempt_outcome::whole, "room");
    const auto *cancelled = findAction<cancel_flow_attempt>(replaced);
    CHECK(cancelled != nullptr && cancelled->number == stream.decode.number);
    const auto *replacement = findAction<start_attempt>(replaced);
    CHECK(replacement != nullptr && replacement->attemptKind == attempt_kind::decode);
    CHECK(replacement->endpoint != stream.decode.endpoint);
    CHECK(replacement->capacityReservation.has_value());
    CHECK(replacement->resumeAfter == std::optional<std::int64_t>(1));
}

// Capacity that was reserved for a replacement is withheld from other requests when the stream goes on by itself.
TEST(silent_decode, releasesTheReservationWhenTheStreamGoesOn)
{
    running_stream stream;
    const start_attempt reserve = *findAction<start_attempt>(stream.pass(longSilence));
    stream.speak(2);
    const flow_actions late = stream.end(reserve, attempt_outcome::whole, "room");
    const auto *released = findAction<release_reservation>(late);
    CHECK(released != nullptr && released->capacityReservation.reservation == "room");
    CHECK(findAction<cancel_flow_attempt>(late) == nullptr);
    CHECK(findAction<start_attempt>(late) == nullptr);
}

// The end of the stream during the search must not leave a reservation behind or keep the request in the dispatcher's table.
TEST(silent_decode, endsWhileAReplacementIsSearched)
{
    running_stream stream;
    const start_attempt reserve = *findAction<start_attempt>(stream.pass(longSilence));
    const flow_actions last = stream.end(stream.decode, attempt_outcome::whole);
    CHECK(findAction<relay_response_end>(last) != nullptr);
    const flow_actions late = stream.end(reserve, attempt_outcome::whole, "room");
    CHECK(findAction<release_reservation>(late) != nullptr);
    CHECK_TRUE(stream.flow.isDone());
}

namespace
{

/// Simulates endpoints that pause, refuse and break off at random, and records what the caller and the endpoints would notice.
struct pausing_endpoints
{
    running_stream stream;
    std::map<attempt_number, start_attempt> open;
    std::set<attempt_number> openDecodes;
    int lastEvent = 1;
    int reservations = 0;
    int reservationsGivenBack = 0;
    std::size_t maxOpenDecodes = 1;
    bool hasEndpointBrokenOff = false;
    bool isCutByGateway = false;
    bool isFinished = false;

    pausing_endpoints()
    {
        open[stream.decode.number] = stream.decode;
        openDecodes.insert(stream.decode.number);
    }

    void take(const flow_actions &actions)
    {
        for (const flow_action &action : actions) {
            if (const auto *sent = std::get_if<start_attempt>(&action)) {
                open[sent->number] = *sent;
                if (sent->attemptKind == attempt_kind::decode) {
                    openDecodes.insert(sent->number);
                    stream.decode = *sent;
                }
                reservationsGivenBack += sent->capacityReservation ? 1 : 0;
            } else if (const auto *withdrawn = std::get_if<cancel_flow_attempt>(&action)) {
                open.erase(withdrawn->number);
                openDecodes.erase(withdrawn->number);
            } else if (std::holds_alternative<release_reservation>(action)) {
                ++reservationsGivenBack;
            } else if (std::holds_alternative<abort_response>(action)) {
                isCutByGateway = !hasEndpointBrokenOff;
                isFinished = true;
            } else if (std::holds_alternative<relay_response_end>(action)) {
                isFinished = true;
            }
            maxOpenDecodes = std::max(maxOpenDecodes, openDecodes.size());
        }
    }

    void endAttempt(const start_attempt &attempt, attempt_outcome outcome)
    {
        const bool isReserve = attempt.attemptKind == attempt_kind::reserve;
        const bool isReserved = isReserve && outcome == attempt_outcome::whole;
        const bool hasRun = !isReserve && (outcome == attempt_outcome::whole || outcome == attempt_outcome::lost);
        reservations += isReserved ? 1 : 0;
        hasEndpointBrokenOff = hasEndpointBrokenOff || hasRun;
        open.erase(attempt.number);
        openDecodes.erase(attempt.number);
        take(stream.end(attempt, outcome, isReserved ? std::optional<std::string>("room") : std::nullopt));
    }

    // One event, chosen by the number: an attempt ends, the stream goes on, or time passes.
    void step(std::uint8_t choice)
    {
        const auto reserve =
            std::find_if(open.begin(), open.end(), [](const auto &entry) { return entry.second.attemptKind == attempt_kind::reserve; });
        if (choice % 8 < 4 && reserve != open.end()) {
            endAttempt(start_attempt(reserve->second), choice % 8 == 0 ? attempt_outcome::whole : attempt_outcome::rejected);
        } else if (choice % 8 == 4 && !openDecodes.empty()) {
            // An endpoint does not refuse a request for which it has reserved capacity.
            const start_attempt decode = open[*openDecodes.begin()];
            const bool hasCapacity = decode.capacityReservation.has_value();
            endAttempt(decode, hasCapacity ? attempt_outcome::lost : attempt_outcome::rejected);
        } else if (choice % 8 == 5 && !openDecodes.empty()) {
            take(stream.flow.onHead(stream.decode.number, stream.fixture.context(), stream.fixture.now));
            take(stream.speak(++lastEvent));
        } else {
            take(stream.pass(choice % 8 == 7 ? longSilence : 35ms));
        }
    }
};

} // namespace

// Whatever the endpoints do, the gateway itself never cuts a stream before its deadline, never has two endpoints generate it, and gives
// back every reservation.
TEST(silent_decode, isNeverCutByTheGateway)
{
    CHECK_PROPERTY("streams are cut by endpoints only", [](const std::vector<std::uint8_t> &choices) {
        pausing_endpoints simulation;
        const instant last = simulation.stream.fixture.now + 3s;
        for (const std::uint8_t choice : choices) {
            if (simulation.stream.flow.isDone() || simulation.stream.fixture.now > last) {
                break;
            }
            simulation.step(choice);
        }
        RC_ASSERT(!simulation.isCutByGateway || simulation.stream.fixture.now > last);
        RC_ASSERT(simulation.maxOpenDecodes == 1);
        RC_ASSERT(simulation.reservationsGivenBack <= simulation.reservations);
        if (simulation.stream.flow.isDone()) {
            RC_ASSERT(simulation.reservationsGivenBack == simulation.reservations);
        }
    });
}
