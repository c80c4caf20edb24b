#include "forwarding/endpoint_notices.h"

#include <algorithm>

#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

endpoint_process process(std::int64_t startTime)
{
    return {endpoint_id("e"), endpoint_start_time(startTime)};
}

endpoint_notice leavingNotice()
{
    endpoint_notice notice;
    notice.isLeaving = true;
    return notice;
}

endpoint_notice pauseNotice(deadline until)
{
    endpoint_notice notice;
    notice.pausedUntil = until;
    return notice;
}

} // namespace

TEST_GROUP(endpoint_notices)
{
    endpoint_notices notices;
    instant now {1000s};
};

// A process that leaves does not come back: neither a later response without the statement nor its registration, read again, undoes it.
TEST(endpoint_notices, keepsALeavingProcessUntilItsSuccessorStarts)
{
    CHECK_TRUE(notices.note(process(10), leavingNotice(), now).isNewlyLeaving);
    CHECK_FALSE(notices.note(process(10), leavingNotice(), now).isNewlyLeaving);
    notices.note(process(10), {}, now);
    CHECK_FALSE(notices.noteStarted(process(10)));
    CHECK_FALSE(notices.noteStarted(process(9)));
    CHECK_TRUE(notices.isLeaving(process(10)));
    CHECK_TRUE(notices.noteStarted(process(11)));
    CHECK_FALSE(notices.isLeaving(process(11)));
    CHECK_FALSE(notices.isLeaving(process(10)));
}

// A response of the earlier process that arrives late must not keep requests away from the new one.
TEST(endpoint_notices, ignoresLateNoticesOfAnEarlierProcess)
{
    notices.note(process(20), pauseNotice(deadline::after(now, 1s)), now);
    notices.note(process(10), leavingNotice(), now);
    CHECK_FALSE(notices.isLeaving(process(20)));
    CHECK(notices.pausedUntil(process(20)) == deadline::after(now, 1s));
}

// Each response that asks for a pause binds the instance, so a shorter time that arrives later does not end the pause sooner.
TEST(endpoint_notices, endsAPauseAtTheLatestTime)
{
    CHECK_TRUE(notices.note(process(10), pauseNotice(deadline::after(now, 4s)), now).isNewlyPausing);
    const notice_change shorter = notices.note(process(10), pauseNotice(deadline::after(now, 1s)), now);
    CHECK_FALSE(shorter.isNewlyPausing);
    CHECK_FALSE(shorter.isPauseExtended);
    CHECK(notices.pausedUntil(process(10)) == deadline::after(now, 4s));
    CHECK_TRUE(notices.note(process(10), pauseNotice(deadline::after(now, 5s)), now).isPauseExtended);
}

// An endpoint that states a huge time by mistake must not be lost.
TEST(endpoint_notices, limitsThePause)
{
    notices.note(process(10), pauseNotice(deadline::never()), now);
    CHECK(notices.pausedUntil(process(10)) == deadline::after(now, maxEndpointPause));
    notices.note(process(10), pauseNotice(deadline::after(now, -1s)), now);
    CHECK(notices.pausedUntil(process(10)) == deadline::after(now, maxEndpointPause));
}

TEST(endpoint_notices, reportsTheFirstUnreadableTimeOfAProcess)
{
    endpoint_notice unreadable;
    unreadable.isPauseMalformed = true;
    CHECK_TRUE(notices.note(process(10), unreadable, now).isFirstMalformed);
    CHECK_FALSE(notices.note(process(10), unreadable, now).isFirstMalformed);
    CHECK_TRUE(notices.pausedUntil(process(10)).hasPassed(now));
    CHECK_TRUE(notices.note(process(11), unreadable, now).isFirstMalformed);
}

// Endpoints that restart under new ids for months must not use up the memory.
TEST(endpoint_notices, discardsTheOldestRecords)
{
    std::size_t discarded = 0;
    for (int index = 0; index < 5000; ++index) {
        const endpoint_process one = {endpoint_id("e" + std::to_string(index)), endpoint_start_time(1)};
        discarded += notices.note(one, leavingNotice(), now).discarded ? 1 : 0;
    }
    LONGS_EQUAL(904, discarded);
    CHECK_FALSE(notices.isLeaving({endpoint_id("e903"), endpoint_start_time(1)}));
    CHECK_TRUE(notices.isLeaving({endpoint_id("e904"), endpoint_start_time(1)}));
}

// Whatever the order of responses, registrations, restarts and freezes: the newest known process leaves exactly when it has said so, and it
// pauses until the latest time that it has stated.
TEST(endpoint_notices, followTheNewestProcessForAnyOrderOfEvents)
{
    CHECK_PROPERTY("notices of the newest process", [](const std::vector<std::uint16_t> &choices) {
        endpoint_notices known;
        instant time(1000s);
        std::int64_t newest = 0;
        bool isLeaving = false;
        deadline pausedUntil;
        const auto start = [&](std::int64_t startTime) {
            if (startTime > newest) {
                newest = startTime;
                isLeaving = false;
                pausedUntil = deadline();
            }
        };
        // The first process is known from its registration.
        start(1);
        known.note(process(1), leavingNotice(), time);
        isLeaving = true;
        for (const std::uint16_t choice : choices) {
            const std::int64_t startTime = 1 + choice / 4 % 4;
            // A freeze is a long step.
            time += std::chrono::milliseconds(choice % 64 == 63 ? 20'000 : choice % 512);
            switch (choice % 4) {
            case 0:
                // A registration, possibly of an earlier process that is read again.
                known.noteStarted(process(startTime));
                start(startTime);
                break;
            case 1:
                known.note(process(startTime), leavingNotice(), time);
                start(startTime);
                isLeaving = isLeaving || startTime == newest;
                break;
            case 2: {
                const deadline until = deadline::after(time, std::chrono::milliseconds(choice));
                known.note(process(startTime), pauseNotice(until), time);
                start(startTime);
                if (startTime == newest && !until.hasPassed(time)) {
                    pausedUntil = std::max(pausedUntil, std::min(until, deadline::after(time, maxEndpointPause)));
                }
                break;
            }
            default:
                known.note(process(startTime), {}, time);
                break;
            }
            RC_ASSERT(known.isLeaving(process(newest)) == isLeaving);
            RC_ASSERT(known.pausedUntil(process(newest)) == pausedUntil);
        }
    });
}
