#include "policy/service_queues.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const service_id desk("desk");

queued_request waiting(const std::string &id, instant at)
{
    return {request_id(id), workspace_id("w"), 1, token_count(100), at, deadline::after(at, 10s), 0};
}

} // namespace

TEST_GROUP(service_queues)
{
    const instant start {1s};
    service_queues queues {makeQueueOrder("fair"), 2};
};

// Guards against more requests that reserve endpoints at the same time than allowed, and against a place that is lost when a reservation
// ends.
TEST(service_queues, limitConcurrentReservations)
{
    for (const char *id : {"a", "b", "c"}) {
        CHECK_TRUE(queues.push(desk, waiting(id, start), start));
    }
    CHECK_TRUE(queues.takeReady() == desk);
    CHECK_FALSE(queues.takeReady().has_value());
    CHECK_TRUE(queues.beginReservation(desk, start).has_value());
    CHECK_TRUE(queues.beginReservation(desk, start).has_value());
    CHECK_FALSE(queues.beginReservation(desk, start).has_value());
    queues.endReservation(desk);
    CHECK_TRUE(queues.beginReservation(desk, start).has_value());
}

// Guards against a service that repeatedly tries full endpoints, and against one that stays paused when a slot has become free.
TEST(service_queues, pauseAServiceWithoutFreeSlotsUntilOneIsReleased)
{
    queues.push(desk, waiting("a", start), start);
    const auto asked = queues.beginReservation(desk, start);
    queues.endReservation(desk);
    queues.requeue(desk, *asked, start);
    CHECK_FALSE(queues.beginReservation(desk, start).has_value());
    CHECK_TRUE(queues.nextDeadline(start) < deadline::after(start, 1s));
    queues.resume(desk);
    CHECK_TRUE(queues.takeReady() == desk);
    CHECK_TRUE(queues.beginReservation(desk, start).has_value());
}

// Guards against requests that wait past their deadline without an answer.
TEST(service_queues, returnExpiredRequests)
{
    queues.push(desk, waiting("a", start), start);
    CHECK_TRUE(queues.takeExpired(start + 1s).empty());
    CHECK_TRUE(queues.nextDeadline(start) == deadline::after(start, 10s));
    LONGS_EQUAL(1, queues.takeExpired(start + 11s).size());
    CHECK_TRUE(queues.nextDeadline(start + 11s).isNever());
}
