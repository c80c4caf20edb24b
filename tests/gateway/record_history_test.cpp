#include "gateway/record_history.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;

namespace
{

store_record recordOf(std::size_t size)
{
    return {"key", std::string(size, 'x'), {}};
}

} // namespace

TEST_GROUP(record_history) {};

// A reader that kept many large configurations ran out of memory, and passing one on to 16 instances filled its link for seconds, so that
// its own callers waited.
TEST(record_history, keepsNoRecordsThatAreTooLargeToRelay)
{
    record_history history;
    history.begin(store_offset(10));
    history.append({recordOf(100), recordOf(700 * 1024)});
    CHECK(history.end() == store_offset(12));
    CHECK_FALSE(history.from(store_offset(10)).has_value());
    CHECK_FALSE(history.from(store_offset(11)).has_value());
    CHECK_TRUE(history.from(store_offset(12)).has_value());
    history.append({recordOf(100)});
    LONGS_EQUAL(1, history.from(store_offset(12))->size());
    CHECK_FALSE(history.from(store_offset(11)).has_value());
}

// The total is bounded too: 256 records of 300 KB would be 77 MB.
TEST(record_history, boundsTheTotalSize)
{
    record_history history;
    history.begin(store_offset(0));
    for (int round = 0; round < 100; ++round) {
        history.append({recordOf(10 * 1024)});
    }
    CHECK_FALSE(history.from(store_offset(90)).has_value());
    LONGS_EQUAL(5, history.from(store_offset(95))->size());
}

// Guards against a read of all member reports at the store by each of 290 instances every ten seconds: instances that start together report
// at the same moment, and a reader kept 256 records (rampa-hat-large trouble-3).
TEST(record_history, keepsAReportOfEachOfManyInstances)
{
    constexpr int instances = 450;
    constexpr std::size_t reportBytes = 100;
    record_history history;
    history.begin(store_offset(0));
    for (int report = 0; report < instances; ++report) {
        history.append({recordOf(reportBytes)});
    }
    const auto kept = history.from(store_offset(0));
    CHECK_TRUE(kept.has_value());
    LONGS_EQUAL(instances, kept->size());
}
