#include "gateway/topic_relay.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr store_topic topic = store_topic::operators;
const relayed_topic topicNumber(static_cast<std::int64_t>(topic));

store_record record(const std::string &key, const std::string &value)
{
    return {key, value, {}};
}

/// A topic_relay and the responses it has sent.
struct topic_relay_fixture
{
    event_loop loop;
    store_era_tracker era;
    topic_relay relay {loop, era};
    instant now = boot_clock::now();
    std::vector<peer_records_response> responses;

    void request(std::int64_t from, std::chrono::milliseconds wait, std::optional<relayed_era> requesterEra = {})
    {
        const sink<peer_message> reply([this](const peer_message &message) {
            responses.push_back(std::get<peer_records_response>(message));
            loop.stop();
            return post_result::delivered;
        });
        relay.handleRequest({topicNumber, log_offset(from), wait, requesterEra}, reply, now);
    }
};

} // namespace

TEST_GROUP(topic_relay)
{
    topic_relay_fixture fixture;
};

// Guards against a relay that has lost the store, or never read the topic, and whose missing records are taken for the absence of changes.
TEST(topic_relay, reportsThatItDoesNotReadTheTopic)
{
    fixture.request(0, 500ms);
    LONGS_EQUAL(1, fixture.responses.size());
    CHECK_FALSE(fixture.responses.front().isReader);
    fixture.relay.recordSnapshot(topic, store_offset(4), fixture.now);
    fixture.relay.recordContact(topic, fixture.now);
    fixture.relay.markNotReading(topic);
    fixture.request(4, 500ms);
    CHECK_FALSE(fixture.responses.back().isReader);
}

TEST(topic_relay, answersAWaitingRequestAsSoonAsThereAreRecords)
{
    fixture.relay.recordSnapshot(topic, store_offset(4), fixture.now);
    fixture.relay.recordContact(topic, fixture.now);
    fixture.request(4, 500ms);
    CHECK_TRUE(fixture.responses.empty());
    fixture.relay.recordUpdates(topic, {record("config", "five")});
    fixture.relay.recordContact(topic, fixture.now);
    LONGS_EQUAL(1, fixture.responses.size());
    LONGS_EQUAL(5, fixture.responses.front().end.value());
    STRCMP_EQUAL("five", fixture.responses.front().records.front().value->c_str());
    // A contact on another topic must not trigger a response.
    fixture.request(5, 500ms);
    fixture.relay.recordContact(store_topic::members, fixture.now);
    LONGS_EQUAL(1, fixture.responses.size());
}

// Guards against skipping records that the relay no longer keeps.
TEST(topic_relay, reportsTruncatedRecords)
{
    fixture.relay.recordSnapshot(topic, store_offset(4), fixture.now);
    fixture.relay.recordUpdates(topic, {record("a", "1"), record("b", "2")});
    fixture.relay.recordContact(topic, fixture.now);
    fixture.request(5, 0ms);
    CHECK_FALSE(fixture.responses.back().isTruncated);
    LONGS_EQUAL(1, fixture.responses.back().records.size());
    fixture.request(3, 0ms);
    CHECK_TRUE(fixture.responses.back().isTruncated);
    const std::int64_t before = fixture.responses.back().resyncCount;
    fixture.relay.recordSnapshot(topic, store_offset(6), fixture.now);
    fixture.request(5, 0ms);
    CHECK_TRUE(fixture.responses.back().isTruncated);
    CHECK(fixture.responses.back().resyncCount > before);
}

// Guards against instances that are ahead of their reader and therefore read all newest records at the store repeatedly (521 calls in one
// second in the run rampa-hat-grown trouble-1).
TEST(topic_relay, letsARequesterThatIsAheadWait)
{
    fixture.relay.recordSnapshot(topic, store_offset(4), fixture.now);
    fixture.relay.recordContact(topic, fixture.now);
    fixture.request(9, 30ms);
    CHECK_TRUE(fixture.responses.empty());
    fixture.loop.run();
    LONGS_EQUAL(1, fixture.responses.size());
    CHECK_TRUE(fixture.responses.front().isReader);
    CHECK_FALSE(fixture.responses.front().isTruncated);
    CHECK_TRUE(fixture.responses.front().records.empty());
}

// The requesting instance decides by the age whether it has to read at the store itself.
TEST(topic_relay, reportsTheAgeOfTheLastContact)
{
    fixture.relay.recordSnapshot(topic, store_offset(4), fixture.now);
    fixture.relay.recordContact(topic, fixture.now - 700ms);
    fixture.relay.recordUpdates(topic, {record("a", "1")});
    fixture.request(4, 0ms);
    LONGS_EQUAL(700, fixture.responses.back().age.count());
}

// A requester that has had another reader reads everything again only if this reader has found a change without a record since the
// requester did. Guards against four reads of all records by each instance whenever its reader changes (rampa-hat-large trouble-3).
TEST(topic_relay, reportsTheTimeSinceItsLastResync)
{
    fixture.relay.recordSnapshot(topic, store_offset(4), fixture.now - 900ms);
    fixture.relay.recordContact(topic, fixture.now);
    fixture.request(3, 0ms);
    LONGS_EQUAL(900, fixture.responses.back().sinceResync.count());
    fixture.relay.recordUpdates(topic, {record("a", "1")});
    fixture.request(4, 0ms);
    LONGS_EQUAL(900, fixture.responses.back().sinceResync.count());
}

// Guards against records that are passed on for an offset that meant other records before a restore of the store.
TEST(topic_relay, givesNoRecordsForAnOffsetOfAnOlderEra)
{
    fixture.era.judgeStore(store_era(2));
    fixture.relay.recordSnapshot(topic, store_offset(4), fixture.now);
    fixture.relay.recordUpdates(topic, {record("a", "1")});
    fixture.relay.recordContact(topic, fixture.now);
    fixture.request(4, 500ms, relayed_era(2));
    LONGS_EQUAL(1, fixture.responses.back().records.size());
    CHECK(fixture.responses.back().era == relayed_era(2));
    for (const std::int64_t from : {4, 5, 9}) {
        fixture.request(from, 500ms, relayed_era(1));
        CHECK_TRUE(fixture.responses.back().isTruncated);
        CHECK_TRUE(fixture.responses.back().records.empty());
        CHECK(fixture.responses.back().era == relayed_era(2));
    }
    LONGS_EQUAL(4, fixture.responses.size());
}

// Guards against requesters that wait for a reader which has to read the restored store first, and are not told of the restore.
TEST(topic_relay, isNoReaderAfterARestoreUntilItHasReadTheTopic)
{
    fixture.era.judgeStore(store_era(2));
    fixture.relay.recordSnapshot(topic, store_offset(4), fixture.now);
    fixture.relay.recordContact(topic, fixture.now);
    fixture.request(4, 500ms, relayed_era(2));
    CHECK_TRUE(fixture.responses.empty());
    fixture.era.judgeStore(store_era(3));
    fixture.relay.beginEra();
    LONGS_EQUAL(1, fixture.responses.size());
    CHECK_FALSE(fixture.responses.back().isReader);
    CHECK(fixture.responses.back().era == relayed_era(3));
    fixture.request(1, 500ms, relayed_era(3));
    CHECK_FALSE(fixture.responses.back().isReader);
    fixture.relay.recordContact(topic, fixture.now);
    fixture.relay.recordSnapshot(topic, store_offset(1), fixture.now);
    fixture.request(1, 10ms, relayed_era(3));
    fixture.loop.run();
    LONGS_EQUAL(3, fixture.responses.size());
    CHECK_TRUE(fixture.responses.back().isReader);
    CHECK_FALSE(fixture.responses.back().isTruncated);
}

TEST(topic_relay, answersRequestsForUnknownTopics)
{
    const sink<peer_message> reply([this](const peer_message &message) {
        fixture.responses.push_back(std::get<peer_records_response>(message));
        return post_result::delivered;
    });
    for (const std::int64_t unknownTopic : {-1, 3, 1000000}) {
        fixture.relay.handleRequest({relayed_topic(unknownTopic), log_offset(0), 0ms}, reply, fixture.now);
        CHECK_FALSE(fixture.responses.back().isReader);
    }
}
