#include "state/snapshot_schedule.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(snapshot_schedules) {};

// Guards against a snapshot that the platform drops before the next one has been written.
TEST(snapshot_schedules, areDueByNumberAndByAge)
{
    const instant now(100s);
    snapshot_schedule schedule(30s);
    CHECK_FALSE(schedule.isDue(log_offset(0), log_offset(31), now));
    CHECK_TRUE(schedule.isDue(log_offset(0), log_offset(32), now));
    schedule.trackSnapshot(log_offset(400), now);
    CHECK_FALSE(schedule.isDue(log_offset(200), log_offset(460), now));
    CHECK_TRUE(schedule.isDue(log_offset(200), log_offset(520), now));
    CHECK_TRUE(schedule.isDue(log_offset(400), log_offset(401), now));
    CHECK_FALSE(schedule.isDue(log_offset(200), log_offset(401), now + 9s));
    CHECK_TRUE(schedule.isDue(log_offset(200), log_offset(401), now + 10s));
}

// Guards against all instances writing the same snapshot at once, and against one instance writing all snapshots.
TEST(snapshot_schedules, rankEachInstanceDifferently)
{
    state_view view;
    std::vector<roster_member> &members = view.rosters[data_centre_id("d")].members;
    members = {{instance_id("a"), incarnation_id("1")}, {instance_id("b"), incarnation_id("2")}, {instance_id("c"), incarnation_id("3")}};
    std::set<std::size_t> ranksOfFirstMember;
    for (std::int64_t last = 0; last < 50; ++last) {
        std::set<std::size_t> ranks;
        for (const roster_member &member : members) {
            ranks.insert(snapshotWriterRank(view, member, log_offset(last)));
        }
        CHECK_TRUE((ranks == std::set<std::size_t> {0, 1, 2}));
        ranksOfFirstMember.insert(snapshotWriterRank(view, members.at(0), log_offset(last)));
    }
    CHECK_EQUAL(3U, ranksOfFirstMember.size());
    CHECK_EQUAL(3U, snapshotWriterRank(view, {instance_id("x"), incarnation_id("9")}, log_offset(1)));
}
