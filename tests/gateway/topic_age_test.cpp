#include "gateway/topic_age.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(topic_ages)
{
    instant now = boot_clock::now();
    topic_age age {2000ms};

    void setup() override
    {
        age.begin(now);
    }
};

// Guards against a topic that is out of date without a line in the log, and against a line at each check.
TEST(topic_ages, reportAnOverdueTopicOnceAndItsEnd)
{
    CHECK_FALSE(age.noteUpToDate(now, now).has_value());
    CHECK_FALSE(age.takeOverdue(now + 2000ms));
    age.noteObstacle("timeout");
    CHECK_TRUE(age.takeOverdue(now + 2100ms));
    CHECK_FALSE(age.takeOverdue(now + 2200ms));
    STRCMP_EQUAL("timeout", age.obstacle().c_str());
    const auto reached = age.noteUpToDate(now + 3000ms, now + 3000ms);
    CHECK_TRUE(reached == boot_clock::duration(3000ms));
    CHECK_TRUE(age.obstacle().empty());
    CHECK_TRUE(age.takeOverdue(now + 5100ms));
}

// Guards against a topic that counts as current although the records that have arrived are themselves older than the limit.
TEST(topic_ages, stayOverdueWhileTheArrivingRecordsAreOld)
{
    CHECK_TRUE(age.takeOverdue(now + 3000ms));
    CHECK_FALSE(age.noteUpToDate(now + 500ms, now + 3000ms).has_value());
    CHECK_TRUE(age.noteUpToDate(now + 1500ms, now + 3000ms).has_value());
}

// Guards against lines about a topic that was not followed for a while, and about one without a limit.
TEST(topic_ages, countFromTheStartOfFollowing)
{
    age.noteUpToDate(now, now);
    age.begin(now + 60s);
    CHECK_FALSE(age.takeOverdue(now + 61s));
    topic_age unlimited {std::nullopt};
    unlimited.begin(now);
    CHECK_FALSE(unlimited.takeOverdue(now + 60s));
}
