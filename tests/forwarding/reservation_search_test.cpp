#include "forwarding/reservation_search.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(reservation_search) {};

// Guards against a search that asks without a pause between rounds, or after its deadline.
TEST(reservation_search, asksInRoundsUntilItsDeadline)
{
    const instant start(1000s);
    const endpoint_id tried("tried");
    reservation_search search;
    search.begin({tried}, deadline::after(start, 100ms));
    CHECK_TRUE(search.isRoundEmpty());
    int asked = 0;
    while (!search.isRoundFull()) {
        search.noteFull(endpoint_id("d" + std::to_string(++asked)));
        CHECK_FALSE(search.isRoundEmpty());
    }
    const report_failed_reservations round = search.endRound(token_count(10));
    LONGS_EQUAL(1, round.round);
    LONGS_EQUAL(asked, round.asked.size());
    CHECK_TRUE(search.scheduleNextRound(start));
    CHECK_FALSE(search.startDueRound(start));
    const instant next = search.nextRoundAt().at();
    CHECK_TRUE(next > start);
    CHECK_TRUE(search.startDueRound(next));
    CHECK_TRUE(search.nextRoundAt().isNever());
    LONGS_EQUAL(1, search.excluded().size());
    CHECK_FALSE(search.scheduleNextRound(start + 200ms));
}
