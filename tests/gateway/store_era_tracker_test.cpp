#include "gateway/store_era_tracker.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;

TEST_GROUP(store_eras)
{
    store_era_tracker tracker;
};

// Guards against a reading of all topics at each start of an instance.
TEST(store_eras, firstOneIsNoRestore)
{
    CHECK(tracker.judgeStore(store_era(4)) == era_verdict::current);
    CHECK(tracker.judgeStore(store_era(4)) == era_verdict::current);
    CHECK(tracker.judgeStore(std::nullopt) == era_verdict::current);
    CHECK(tracker.current() == store_era(4));
}

// Guards against an instance that goes on with the offsets from before a restore, and against one that reads everything anew for a late
// response from before it, or more than once for each restore.
TEST(store_eras, riseOnceAndNeverFall)
{
    tracker.judgeStore(store_era(4));
    CHECK(tracker.judgeStore(store_era(5)) == era_verdict::risen);
    CHECK(tracker.judgeStore(store_era(5)) == era_verdict::current);
    CHECK(tracker.judgeStore(store_era(4)) == era_verdict::outdated);
    CHECK(tracker.judgeStore(store_era(7)) == era_verdict::risen);
    CHECK(tracker.judgePeer(store_era(5)) == era_verdict::outdated);
    CHECK(tracker.current() == store_era(7));
}

// Guards against a restore that is taken for the first era, by an instance that has read before the store stated one.
TEST(store_eras, firstOneAfterReadingWithoutOneIsARestore)
{
    CHECK(tracker.judgeStore(std::nullopt) == era_verdict::current);
    CHECK(tracker.judgeStore(store_era(1)) == era_verdict::risen);
}

// Guards against records of an older build that may be from before the restore, and against refusing older builds where there was none.
TEST(store_eras, areNeededInMessagesAfterARestore)
{
    tracker.judgeStore(store_era(4));
    CHECK(tracker.judgePeer(std::nullopt) == era_verdict::current);
    CHECK(tracker.judgePeer(store_era(5)) == era_verdict::risen);
    CHECK(tracker.judgePeer(std::nullopt) == era_verdict::outdated);
}

// Guards against a comparison of offsets that mean different records.
TEST(store_eras, keepPositionsApart)
{
    const store_position before {store_era(1), store_offset(9)};
    const store_position after {store_era(2), store_offset(4)};
    CHECK_FALSE(after < before);
    CHECK_FALSE(before < after);
    CHECK_FALSE(before == after);
    CHECK_TRUE(after < (store_position {store_era(2), store_offset(5)}));
}
