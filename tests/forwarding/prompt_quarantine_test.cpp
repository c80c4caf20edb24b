#include "forwarding/prompt_quarantine.h"

#include "forwarding/plan_fixture.h"

#include <set>

#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

prompt_parts prompt(const std::vector<std::string> &shared, const std::string &own)
{
    prompt_parts parts;
    for (const std::string &part : shared) {
        parts.shared.emplace_back(part);
    }
    parts.own = prompt_part_id(own);
    return parts;
}

/// An instance that has been running for a minute.
struct quarantine_fixture
{
    instant now {60s};
    prompt_quarantine quarantine {instance_id("i0"), instant()};
    int prompts = 0;
    int runs = 0;

    prompt_parts next(const std::vector<std::string> &shared)
    {
        return prompt(shared, "own-" + std::to_string(++prompts));
    }

    endpoint_process nextProcess()
    {
        return {endpoint_id("d" + std::to_string(++runs)), endpoint_start_time(1)};
    }

    /// A crash at a moment of its own.
    void crash(const std::vector<std::string> &shared)
    {
        now += 150ms;
        crashAtOnce(shared);
    }

    void crashAtOnce(const std::vector<std::string> &shared)
    {
        const prompt_parts parts = next(shared);
        quarantine.recordLoss(nextProcess(), {attempt_id("request-" + parts.own.value()), parts}, now);
    }

    bool isQuarantined(const std::vector<std::string> &shared) const
    {
        return quarantine.find(prompt(shared, "other"), now) != nullptr;
    }
};

} // namespace

TEST_GROUP(prompt_quarantine)
{
    quarantine_fixture fixture;
};

// Requests with a part that crashes each endpoint took down one endpoint after the other.
TEST(prompt_quarantine, refusesAPartThatCrashedThreeEndpoints)
{
    fixture.crash({"first-1", "deadly"});
    fixture.crash({"first-2", "deadly"});
    CHECK_FALSE(fixture.isQuarantined({"first-3", "deadly"}));
    fixture.crash({"first-3", "deadly"});
    CHECK_TRUE(fixture.isQuarantined({"first-4", "deadly"}));
    CHECK_FALSE(fixture.isQuarantined({"first-1"}));
    CHECK_FALSE(fixture.isQuarantined({"first-3"}));
}

// A part that sound requests share with deadly ones must not be refused, even if it was present at every crash.
TEST(prompt_quarantine, attributesCrashesToThePartThatNeverSurvived)
{
    for (int round = 0; round < 5; ++round) {
        fixture.quarantine.recordSurvival(fixture.next({"system"}), fixture.now, fixture.now);
        fixture.now += 100ms;
        fixture.crash({"system", "deadly"});
    }
    CHECK_TRUE(fixture.isQuarantined({"system", "deadly"}));
    CHECK_FALSE(fixture.isQuarantined({"system"}));
}

// When both parts occur in all suspects, the part that fewer requests contain is refused.
TEST(prompt_quarantine, prefersTheLaterOfPartsThatAlwaysOccurTogether)
{
    for (int round = 0; round < 3; ++round) {
        fixture.crash({"system", "deadly"});
    }
    CHECK_TRUE(fixture.isQuarantined({"deadly"}));
    CHECK_FALSE(fixture.isQuarantined({"system"}));
}

// The loss of many endpoints at once, as in a power failure, hits requests that share a part. Refusing that part would refuse sound
// requests.
TEST(prompt_quarantine, ignoresALossOfManyEndpointsAtOnce)
{
    fixture.quarantine.recordSurvival(fixture.next({"system"}), fixture.now, fixture.now);
    fixture.now += 1s;
    for (int endpoint = 0; endpoint < 12; ++endpoint) {
        fixture.crashAtOnce({"system", "rare"});
    }
    CHECK_FALSE(fixture.isQuarantined({"system"}));
    CHECK_FALSE(fixture.isQuarantined({"rare"}));
}

// A caller that repeats one request at endpoints that crash for another reason must not convict the parts which that request shares.
TEST(prompt_quarantine, needsMoreThanOnePrompt)
{
    const prompt_parts parts = fixture.next({"rare"});
    for (int retry = 0; retry < 4; ++retry) {
        fixture.quarantine.recordLoss(fixture.nextProcess(), {attempt_id("retry-" + std::to_string(retry)), parts}, fixture.now);
    }
    CHECK_FALSE(fixture.isQuarantined({"rare"}));
}

// All requests at a crashed endpoint lose their connections. One crash must count once.
TEST(prompt_quarantine, countsACrashOnce)
{
    const endpoint_process process = fixture.nextProcess();
    for (int request = 0; request < 5; ++request) {
        const prompt_parts parts = fixture.next({"rare"});
        fixture.quarantine.recordLoss(process, {attempt_id("request-" + parts.own.value()), parts}, fixture.now);
    }
    CHECK_FALSE(fixture.isQuarantined({"rare"}));
}

// A common part that turns deadly has survived before; it is refused after six crashes at separate moments.
TEST(prompt_quarantine, refusesAFamiliarPartThatTurnsDeadly)
{
    fixture.quarantine.recordSurvival(fixture.next({"system"}), fixture.now, fixture.now);
    for (int round = 0; round < 6; ++round) {
        CHECK_FALSE(fixture.isQuarantined({"system"}));
        fixture.now += 300ms;
        fixture.crash({"system"});
    }
    CHECK_TRUE(fixture.isQuarantined({"system"}));
}

// A quarantine is a lease: a fixed model can process the part, so requests with it must be tried again.
TEST(prompt_quarantine, endsAfterTheLastCrashAndIsRenewedByTheNextOne)
{
    for (int round = 0; round < 3; ++round) {
        fixture.crash({"deadly"});
    }
    CHECK_TRUE(fixture.isQuarantined({"deadly"}));
    fixture.now += 91s;
    CHECK_FALSE(fixture.isQuarantined({"deadly"}));
    fixture.crash({"deadly"});
    CHECK_TRUE(fixture.isQuarantined({"deadly"}));
    fixture.now += 91s;
    fixture.quarantine.recordSurvival(fixture.next({"deadly"}), fixture.now, fixture.now);
    fixture.now += 1s;
    fixture.crash({"deadly"});
    CHECK_FALSE(fixture.isQuarantined({"deadly"}));
}

// Each instance sees only some of the crashes; all of them together decide.
TEST(prompt_quarantine, joinsTheReportsOfAllInstances)
{
    std::vector<std::unique_ptr<prompt_quarantine>> instances;
    for (int index = 0; index < 3; ++index) {
        instances.push_back(std::make_unique<prompt_quarantine>(instance_id("i" + std::to_string(index)), instant()));
        const prompt_parts parts = fixture.next({"first-" + std::to_string(index), "deadly"});
        fixture.now += 150ms;
        instances.back()->recordLoss(fixture.nextProcess(), {attempt_id("a" + std::to_string(index)), parts}, fixture.now);
    }
    fixture.quarantine.setReport(instance_id("i1"), instances[1]->report(), fixture.now);
    fixture.quarantine.setReport(instance_id("i2"), instances[2]->report(), fixture.now);
    CHECK_FALSE(fixture.isQuarantined({"deadly"}));
    fixture.quarantine.setReport(instance_id("i3"), instances[0]->report(), fixture.now);
    CHECK_TRUE(fixture.isQuarantined({"deadly"}));
}

// An instance that has just started knows no survivals; it relies on the verdicts of the others.
TEST(prompt_quarantine, takesOverVerdictsAfterAStart)
{
    for (int round = 0; round < 3; ++round) {
        fixture.crash({"deadly"});
    }
    prompt_quarantine restarted(instance_id("i1"), fixture.now);
    restarted.setReport(instance_id("i0"), fixture.quarantine.report(), fixture.now);
    CHECK(restarted.find(prompt({"deadly"}, "x"), fixture.now) != nullptr);
    CHECK(restarted.find(prompt({"other"}, "x"), fixture.now) == nullptr);
}

// A process that starts again must not lose the evidence that its predecessor has published, and must not take its own report for news.
TEST(prompt_quarantine, adoptsTheReportOfItsPredecessorOnly)
{
    fixture.crash({"deadly"});
    fixture.crash({"deadly"});
    prompt_quarantine restarted(instance_id("i0"), fixture.now - 30s);
    restarted.setReport(instance_id("i0"), fixture.quarantine.report(), fixture.now);
    const prompt_parts third = fixture.next({"deadly"});
    fixture.now += 150ms;
    restarted.recordLoss(fixture.nextProcess(), {attempt_id("a3"), third}, fixture.now);
    CHECK(restarted.find(third, fixture.now) != nullptr);

    const crash_report published = fixture.quarantine.report();
    fixture.now += 1s;
    fixture.quarantine.recordSurvival(fixture.next({"deadly"}), fixture.now, fixture.now);
    fixture.quarantine.setReport(instance_id("i0"), published, fixture.now);
    CHECK_TRUE(fixture.quarantine.report().crashes.empty());
}

// Reports arrive on two ways. An older one must not bring back evidence that its writer has cleared, and one that is read again must not
// make its crashes younger than a survival that cleared them.
TEST(prompt_quarantine, ignoresOlderReportsAndKeepsTheTimeOfKnownCrashes)
{
    quarantine_fixture other;
    other.crash({"rare"});
    other.crash({"rare"});
    other.crash({"rare"});
    crash_report first = other.quarantine.report();
    first.sequence = 1;
    crash_report cleared;
    cleared.sequence = 2;
    fixture.now = other.now;
    fixture.quarantine.setReport(instance_id("i1"), cleared, fixture.now);
    fixture.quarantine.setReport(instance_id("i1"), first, fixture.now);
    CHECK_FALSE(fixture.isQuarantined({"rare"}));

    first.sequence = 3;
    fixture.quarantine.setReport(instance_id("i1"), first, fixture.now);
    CHECK_TRUE(fixture.isQuarantined({"rare"}));
    fixture.now += 1s;
    fixture.quarantine.recordSurvival(fixture.next({"rare"}), fixture.now, fixture.now);
    CHECK_FALSE(fixture.isQuarantined({"rare"}));
    fixture.now += 1s;
    for (endpoint_crash &crash : first.crashes) {
        crash.at = fixture.now;
    }
    fixture.quarantine.setReport(instance_id("i1"), first, fixture.now);
    CHECK_FALSE(fixture.isQuarantined({"rare"}));
}

// All instances trying a part again at the same moment would lose several endpoints; so they do it one after the other.
TEST(prompt_quarantine, endsAtDifferentTimesOnTheInstances)
{
    std::set<deadline> ends;
    for (int index = 0; index < 8; ++index) {
        quarantine_fixture one;
        one.quarantine = prompt_quarantine(instance_id("edge-" + std::to_string(index)), instant());
        for (int round = 0; round < 3; ++round) {
            one.crash({"deadly"});
        }
        ends.insert(one.quarantine.find(prompt({"deadly"}, "x"), one.now)->until);
    }
    LONGS_EQUAL(8, ends.size());
}

// Output that began before the part turned deadly says nothing about it.
TEST(prompt_quarantine, isNotClearedByOutputThatBeganBeforeTheCrashes)
{
    const instant before = fixture.now;
    for (int round = 0; round < 6; ++round) {
        fixture.now += 300ms;
        fixture.crash({"system"});
        fixture.quarantine.recordSurvival(fixture.next({"system"}), before, fixture.now);
    }
    CHECK_TRUE(fixture.isQuarantined({"system"}));
}

// A caller that names many parts, each at a lost endpoint, must neither fill the memory nor displace the evidence against a deadly part.
TEST(prompt_quarantine, keepsTheVerdictInAFloodOfOtherCrashes)
{
    for (int round = 0; round < 3; ++round) {
        fixture.crash({"deadly"});
    }
    for (int round = 0; round < 200; ++round) {
        fixture.now += 10ms;
        std::vector<std::string> parts(50);
        for (std::size_t part = 0; part < parts.size(); ++part) {
            parts[part] = "noise-" + std::to_string(round) + "-" + std::to_string(part);
        }
        fixture.crash(parts);
    }
    CHECK_TRUE(fixture.isQuarantined({"deadly"}));
    CHECK(fixture.quarantine.report().crashes.size() <= 16);
    for (const endpoint_crash &crash : fixture.quarantine.report().crashes) {
        for (const crash_suspect &suspect : crash.suspects) {
            CHECK(suspect.parts.shared.size() <= 16);
        }
    }
}

// Whatever the order of crashes and survivals: a part that survived after each crash is never refused, and a part that never survived is
// refused from its third crash on.
TEST(prompt_quarantine, neverRefusesAPartThatSurvivesBetweenCrashes)
{
    CHECK_PROPERTY("verdicts follow the evidence", [](const std::vector<std::uint8_t> &choices) {
        quarantine_fixture random;
        int deadlyCrashes = 0;
        for (const std::uint8_t choice : choices) {
            random.now += std::chrono::milliseconds(choice);
            const std::string first = "system-" + std::to_string(choice % 2);
            if (choice % 3 == 0) {
                random.crash({first, "deadly"});
                ++deadlyCrashes;
            } else if (choice % 3 == 1) {
                random.crash({first});
            }
            random.now += 1ms;
            random.quarantine.recordSurvival(random.next({first}), random.now, random.now);
            RC_ASSERT(!random.isQuarantined({"system-0"}));
            RC_ASSERT(!random.isQuarantined({"system-1"}));
            RC_ASSERT(random.isQuarantined({"deadly"}) == (deadlyCrashes >= 3));
        }
    });
}

// A request that took down an endpoint was repeated and took down the next one.
TEST(prompt_quarantine, doesNotRepeatARequestThatIsSuspectedOfTwoCrashes)
{
    plan_fixture plan;
    plan.now += 60s;
    const auto decodeOf = [&](forward_flow &flow, flow_actions actions) {
        const start_attempt reserve = *findAction<start_attempt>(actions);
        actions = flow.onEnd(reserve.number, attempt_outcome::whole, {200, false}, "room", plan.context(), plan.now);
        const start_attempt prefill = *findAction<start_attempt>(actions);
        actions = flow.onEnd(prefill.number, attempt_outcome::whole, {200, false}, "handle", plan.context(), plan.now);
        return *findAction<start_attempt>(actions);
    };
    const response_summary connectionLost = {0, false, true};
    forward_flow first = plan.flow("resumed", prompt({"first", "deadly"}, "one"));
    const start_attempt crashed = decodeOf(first, first.begin(plan.context(), plan.now));
    const flow_actions repeated =
        first.onEnd(crashed.number, attempt_outcome::lost, connectionLost, std::nullopt, plan.context(), plan.now);
    CHECK(findAction<start_attempt>(repeated) != nullptr);

    plan.now += 150ms;
    forward_flow second = plan.flow("resumed", prompt({"second", "deadly"}, "two"));
    const start_attempt crashedAgain = decodeOf(second, second.begin(plan.context(), plan.now));
    const flow_actions ended =
        second.onEnd(crashedAgain.number, attempt_outcome::lost, connectionLost, std::nullopt, plan.context(), plan.now);
    CHECK(findAction<start_attempt>(ended) == nullptr);
    CHECK(findAction<refuse_request>(ended)->cause == refusal_cause::suspected);
}

// A request that waited while the part was quarantined must not reach an endpoint, and its caller must learn that it did not run.
TEST(prompt_quarantine, refusesAWaitingRequestWhenItsPartIsQuarantined)
{
    plan_fixture plan;
    plan.now += 60s;
    forward_flow waiting = plan.flow("stream", prompt({"deadly"}, "waiting"));
    const start_attempt reserve = *findAction<start_attempt>(waiting.begin(plan.context(), plan.now));
    for (int crash = 0; crash < 3; ++crash) {
        const std::string name = std::to_string(crash);
        plan.now += 150ms;
        plan.quarantine.recordLoss(
            {endpoint_id("x" + name), endpoint_start_time(1)}, {attempt_id(name), prompt({"deadly"}, name)}, plan.now);
    }
    const flow_actions actions = waiting.onEnd(reserve.number, attempt_outcome::whole, {200, false}, "room", plan.context(), plan.now);
    CHECK(findAction<start_attempt>(actions) == nullptr);
    CHECK(findAction<release_reservation>(actions) != nullptr);
    CHECK(findAction<refuse_request>(actions)->cause == refusal_cause::quarantined);
    CHECK_TRUE(findAction<refuse_request>(actions)->isNotExecuted);
    CHECK(findAction<refuse_request>(actions)->retryAfter >= 60000ms);
}
