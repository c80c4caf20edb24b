#include "forwarding/search_policy.h"

#include "forwarding/refusal_policy.h"
#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(search_policy)
{
    instant now {1000s};
    room_monitor monitor;

    search_situation situation(priority_rank rank, std::chrono::milliseconds target) const
    {
        search_situation result;
        result.begun = now;
        result.lastAsked = now;
        result.target = target;
        result.latestStart = deadline::after(now, target * 7 / 10);
        result.searchLimit = deadline::after(now, 4666ms);
        result.outlook = monitor.outlook(rank, now);
        return result;
    }

    search_step step(int rank, const search_situation &from) const
    {
        return searchPolicyFor(priority_rank(rank)).nextRound(from, now);
    }

    void refuse(int count)
    {
        for (int i = 0; i < count; ++i) {
            monitor.noteRefused(priority_rank(1), now);
        }
    }
};

// Guards against a change of the search for services without different priorities: three endpoints, 70 ms, 0.7 of the target.
TEST(search_policy, keepsTheUniformRuleWithoutRanks)
{
    const search_step uniform = searchPolicyFor(std::nullopt).nextRound(situation(priority_rank(0), 1000ms), now);
    LONGS_EQUAL(3, uniform.pace.maxAsked);
    CHECK_TRUE(uniform.pace.interval == 70ms);
    CHECK_TRUE(uniform.pace.until == deadline::after(now, 700ms));
    CHECK_FALSE(uniform.isRefused);
}

// Load: a burst of a later priority over the first one. Guards against later priorities that ask as often as the first.
TEST(search_policy, letsTheFirstPriorityAskMoreOftenUnderScarcity)
{
    CHECK_FALSE(monitor.outlook(priority_rank(0), now).isScarce());
    refuse(20);
    const search_step first = step(0, situation(priority_rank(0), 800ms));
    const search_step later = step(1, situation(priority_rank(1), 2000ms));
    CHECK_TRUE(first.pace.maxAsked / 1.0 / first.pace.interval.count() > 4.0 * later.pace.maxAsked / later.pace.interval.count());
}

// Load: half of the memory lost. Guards against requests that wait although no capacity is expected, against the refusal of the first
// priority with them, and against an instance that refuses for ever because it has stopped to ask.
TEST(search_policy, refusesLaterPrioritiesAtOnceOnlyWithRecentEvidence)
{
    refuse(5);
    CHECK_FALSE(step(1, situation(priority_rank(1), 2000ms)).isRefused);
    refuse(75);
    CHECK_TRUE(step(1, situation(priority_rank(1), 2000ms)).isRefused);
    CHECK_FALSE(step(0, situation(priority_rank(0), 800ms)).isRefused);
    now += 10s;
    CHECK_FALSE(step(1, situation(priority_rank(1), 2000ms)).isRefused);
}

// Guards against the starvation of a request with many before it, and against a late one that asks as often as one in time.
TEST(search_policy, asksRarelyButAlwaysAgain)
{
    refuse(20);
    search_situation behind = situation(priority_rank(1), 2000ms);
    behind.ahead = 5;
    LONGS_EQUAL(0, step(1, behind).pace.maxAsked);
    now += 800ms;
    LONGS_EQUAL(1, step(1, behind).pace.maxAsked);
    now += 800ms;
    CHECK_TRUE(step(1, behind).pace.interval > 300ms);
}

// Guards against a time that the caller would ignore or that brings it back before capacity is expected.
TEST(search_policy, namesATimeWithinAThirdOfWhatTheCallerHasLeft)
{
    CHECK_PROPERTY("retry after", [this](std::uint16_t wait, std::uint16_t left, std::uint16_t jitter) {
        refusal_facts facts;
        facts.cause = refusal_cause::overloaded;
        facts.isCapacityExhausted = true;
        facts.endpoints.available = 1;
        facts.capacityWait = std::chrono::milliseconds(wait);
        facts.callerDeadline = deadline::after(now, std::chrono::milliseconds(left));
        facts.jitter = jitter / 65536.0;
        const auto retryAfter = *decideRefusal(facts, now).retryAfter;
        RC_ASSERT(retryAfter * 3 <= std::chrono::milliseconds(left));
        RC_ASSERT(retryAfter >= std::min(std::chrono::milliseconds(wait), std::chrono::milliseconds(left * 3 / 10)));
    });
}
