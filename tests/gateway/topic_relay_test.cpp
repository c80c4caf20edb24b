#include "gateway/topic_relay.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr store_topic topic = store_topic::operators;
const relayed_topic number(static_cast<std::int64_t>(topic));

store_record record(const std::string &key, const std::string &value)
{
    return {key, value, {}};
}

/// A reader of topics and what it has answered.
struct reader_bench
{
    event_loop loop;
    topic_relay reader {loop};
    instant now = boot_clock::now();
    std::vector<peer_records_response> answers;

    void ask(std::int64_t from, std::chrono::milliseconds wait)
    {
        const sink<peer_message> reply([this](const peer_message &message) {
            answers.push_back(std::get<peer_records_response>(message));
            loop.stop();
            return post_result::delivered;
        });
        reader.answer({number, log_offset(from), wait}, reply, now);
    }
};

} // namespace

TEST_GROUP(topic_relay)
{
    reader_bench bench;
};

// An asker must not take the silence of an instance that has lost the store, or never read the topic, for the absence of news.
TEST(topic_relay, saysWhenItDoesNotReadTheTopic)
{
    bench.ask(0, 500ms);
    LONGS_EQUAL(1, bench.answers.size());
    CHECK_FALSE(bench.answers.front().isReader);
    bench.reader.noteReset(topic, store_offset(4));
    bench.reader.noteContact(topic, bench.now);
    bench.reader.noteLeft(topic);
    bench.ask(4, 500ms);
    CHECK_FALSE(bench.answers.back().isReader);
}

TEST(topic_relay, answersAWaitingAskAsSoonAsThereAreRecords)
{
    bench.reader.noteReset(topic, store_offset(4));
    bench.reader.noteContact(topic, bench.now);
    bench.ask(4, 500ms);
    CHECK_TRUE(bench.answers.empty());
    bench.reader.noteRecords(topic, {record("config", "five")});
    bench.reader.noteContact(topic, bench.now);
    LONGS_EQUAL(1, bench.answers.size());
    LONGS_EQUAL(5, bench.answers.front().end.value());
    STRCMP_EQUAL("five", bench.answers.front().records.front().value->c_str());
    // The other topics are not concerned.
    bench.ask(5, 500ms);
    bench.reader.noteContact(store_topic::members, bench.now);
    LONGS_EQUAL(1, bench.answers.size());
}

// Guards against records that are skipped because the reader no longer keeps them.
TEST(topic_relay, saysWhenRecordsAreGone)
{
    bench.reader.noteReset(topic, store_offset(4));
    bench.reader.noteRecords(topic, {record("a", "1"), record("b", "2")});
    bench.reader.noteContact(topic, bench.now);
    bench.ask(5, 0ms);
    CHECK_FALSE(bench.answers.back().isTruncated);
    LONGS_EQUAL(1, bench.answers.back().records.size());
    bench.ask(3, 0ms);
    CHECK_TRUE(bench.answers.back().isTruncated);
    const std::int64_t before = bench.answers.back().resyncCount;
    bench.reader.noteReset(topic, store_offset(6));
    bench.ask(5, 0ms);
    CHECK_TRUE(bench.answers.back().isTruncated);
    CHECK(bench.answers.back().resyncCount > before);
}

// Instances that were ahead of their reader read all newest records again and again (rampa-hat-grown trouble-1: 521 calls in a second).
TEST(topic_relay, letsAnAskerThatIsAheadWait)
{
    bench.reader.noteReset(topic, store_offset(4));
    bench.reader.noteContact(topic, bench.now);
    bench.ask(9, 30ms);
    CHECK_TRUE(bench.answers.empty());
    bench.loop.run();
    LONGS_EQUAL(1, bench.answers.size());
    CHECK_TRUE(bench.answers.front().isReader);
    CHECK_FALSE(bench.answers.front().isTruncated);
    CHECK_TRUE(bench.answers.front().records.empty());
}

// The age tells the asker when the store must be asked instead.
TEST(topic_relay, tellsHowLongAgoTheStoreHasAnswered)
{
    bench.reader.noteReset(topic, store_offset(4));
    bench.reader.noteContact(topic, bench.now - 700ms);
    bench.reader.noteRecords(topic, {record("a", "1")});
    bench.ask(4, 0ms);
    LONGS_EQUAL(700, bench.answers.back().age.count());
}

TEST(topic_relay, bearsTopicsThatDoNotExist)
{
    const sink<peer_message> reply([this](const peer_message &message) {
        bench.answers.push_back(std::get<peer_records_response>(message));
        return post_result::delivered;
    });
    for (const std::int64_t odd : {-1, 3, 1000000}) {
        bench.reader.answer({relayed_topic(odd), log_offset(0), 0ms}, reply, bench.now);
        CHECK_FALSE(bench.answers.back().isReader);
    }
}
