#include "forwarding/reservation_search.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(reservation_search) {};

// Guards against a search that goes on asking without a pause, or after its time.
TEST(reservation_search, asksInRoundsUntilItsTimeIsOver)
{
    const instant start(1000s);
    const endpoint_id tried("tried");
    reservation_search search;
    search.begin({tried}, deadline::after(start, 100ms));
    CHECK_TRUE(search.isRoundNew());
    int asked = 0;
    while (!search.isRoundFull()) {
        search.noteFull(endpoint_id("d" + std::to_string(++asked)));
        CHECK_FALSE(search.isRoundNew());
    }
    const report_failed_reservations round = search.endRound(token_count(10));
    LONGS_EQUAL(1, round.round);
    LONGS_EQUAL(asked, round.asked.size());
    CHECK_TRUE(search.pause(start));
    CHECK_FALSE(search.takeDue(start));
    const instant next = search.nextRoundAt().at();
    CHECK_TRUE(next > start);
    CHECK_TRUE(search.takeDue(next));
    CHECK_TRUE(search.nextRoundAt().isNever());
    LONGS_EQUAL(1, search.excluded().size());
    CHECK_FALSE(search.pause(start + 200ms));
}
