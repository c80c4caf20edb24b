#include "forwarding/reservation_queue.h"

#include <CppUTest/TestHarness.h>

#include <set>

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(reservation_queue)
{
    instant now {1000s};
    reservation_queue queue;
    int nextFlow = 1;
    std::set<flow_id> served;

    flow_id join(int rank, const char *workspace, std::chrono::milliseconds inTime = 1000ms, int tokens = 3000)
    {
        const flow_id flow(nextFlow++);
        queue.join({flow, priority_rank(rank), workspace_id(workspace), token_count(tokens), deadline::after(now, inTime)});
        return flow;
    }

    flow_id serveFirst()
    {
        for (int i = 1; i < nextFlow; ++i) {
            if (!served.contains(flow_id(i)) && queue.aheadOf(flow_id(i), now) == 0) {
                queue.noteGranted(flow_id(i), now);
                served.insert(flow_id(i));
                return flow_id(i);
            }
        }
        FAIL("no request is first");
        return {};
    }
};

// Load: a burst of a later priority before one request of the first. Guards against an order by arrival, and against a late request that
// delays one that can still start in time.
TEST(reservation_queue, ordersByLatenessAndRank)
{
    const flow_id late = join(0, "a", 100ms);
    const flow_id later = join(1, "a");
    const flow_id first = join(0, "a");
    now += 200ms;
    LONGS_EQUAL(2, queue.aheadOf(late, now));
    CHECK_TRUE(serveFirst() == first);
    CHECK_TRUE(serveFirst() == later);
    CHECK_TRUE(serveFirst() == late);
    LONGS_EQUAL(0, queue.size());
}

// Guards against freed capacity that goes to a later rank while the first rank of other instances waits, and against two offers to one
// request.
TEST(reservation_queue, offersFreedCapacityToTheFirstRankOnly)
{
    join(1, "a", 100ms);
    CHECK_FALSE(queue.offer(endpoint_id("d1"), now).has_value());
    const flow_id second = join(0, "a", 800ms);
    const flow_id first = join(0, "b", 500ms);
    CHECK_TRUE(queue.offer(endpoint_id("d1"), now) == first);
    CHECK_TRUE(queue.offer(endpoint_id("d2"), now) == second);
    CHECK_FALSE(queue.offer(endpoint_id("d3"), now).has_value());
    CHECK_TRUE(queue.takeOffer(first) == endpoint_id("d1"));
    CHECK_FALSE(queue.hasOffer(first));
}

// Load: three workspaces that exceed their shares beside one that does not. Guards against shares by the number of requests, and against an
// unused share that is not returned at once.
TEST(reservation_queue, sharesAmongWorkspaces)
{
    for (int i = 0; i < 10; ++i) {
        for (const char *greedy : {"a", "b", "c"}) {
            join(1, greedy);
        }
    }
    for (int i = 0; i < 6; ++i) {
        serveFirst();
    }
    const flow_id modest = join(1, "modest");
    LONGS_EQUAL(0, queue.aheadOf(modest, now));
    CHECK_TRUE(serveFirst() == modest);
    const flow_id second = join(1, "modest");
    CHECK_TRUE(serveFirst() == second);
    const flow_id third = join(1, "modest");
    CHECK_TRUE(queue.aheadOf(third, now) > 0);
}

// Load: a large request beside an endless sequence of small ones of the same workspace. Guards against small requests that go first because
// they arrive all the time.
TEST(reservation_queue, keepsTheTurnOfALargeRequest)
{
    const flow_id large = join(1, "a", 1000ms, 12000);
    for (int i = 0; i < 50; ++i) {
        now += 10ms;
        join(1, "a", 1000ms, 500);
        LONGS_EQUAL(0, queue.aheadOf(large, now));
    }
}
