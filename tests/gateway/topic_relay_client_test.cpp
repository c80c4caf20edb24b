#include "gateway/topic_relay_client.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

peer_instance instance(const std::string &name)
{
    return {instance_id(name), {"127.0.0.1", 1}};
}

/// A client whose requests are collected and not answered.
struct relay_client_fixture
{
    event_loop loop;
    std::shared_ptr<mailbox<mesh_supervisor_message>> mesh = std::make_shared<mailbox<mesh_supervisor_message>>(loop, 100);
    topic_relay_client client {address(mesh), sink<peer_response>([](peer_response &&) { return post_result::delivered; }), {}};
    instant now = boot_clock::now();

    /// The instance that a request for the topic is sent to; empty when there is none.
    std::string receiver(store_topic topic)
    {
        if (!client.isAnyUsable(topic, now)) {
            return {};
        }
        std::string name;
        const records_query query = {topic, store_offset(1), std::nullopt, 0ms};
        client.sendRequest(query, now, [&](const instance_id &reader, const outcome<peer_records_response> &) { name = reader.value(); });
        client.receive({++m_exchange, {}, failure(error_code::deadline_exceeded, "no response")});
        return name;
    }

private:
    std::uint64_t m_exchange = 0;
};

} // namespace

TEST_GROUP(topic_relay_client)
{
    relay_client_fixture fixture;
};

// Guards against an instance that asks other holders although its reader responds.
TEST(topic_relay_client, prefersTheReaders)
{
    fixture.client.setReaders({instance("a")}, {instance("b"), instance("c")});
    STRCMP_EQUAL("a", fixture.receiver(store_topic::operators).c_str());
    fixture.client.block(instance_id("a"), store_topic::operators, reader_failure::without_records, "", fixture.now);
    CHECK_FALSE(fixture.client.isUsable(fixture.now));
    STRCMP_EQUAL("b", fixture.receiver(store_topic::operators).c_str());
}

// Guards against a holder that does not read one topic and is then asked for no other one, and against a frozen holder that is asked again
// and again while the next one has the records.
TEST(topic_relay_client, blocksAHolderForTheTopicThatItHasNoRecordsOf)
{
    fixture.client.setReaders({}, {instance("b"), instance("c")});
    fixture.client.block(instance_id("b"), store_topic::members, reader_failure::without_records, "", fixture.now);
    STRCMP_EQUAL("c", fixture.receiver(store_topic::members).c_str());
    STRCMP_EQUAL("b", fixture.receiver(store_topic::operators).c_str());
    fixture.client.block(instance_id("b"), store_topic::operators, reader_failure::unresponsive, "", fixture.now);
    fixture.now += 400ms;
    STRCMP_EQUAL("b", fixture.receiver(store_topic::members).c_str());
    STRCMP_EQUAL("c", fixture.receiver(store_topic::operators).c_str());
}

// Guards against instances that ask each other without a pause while none of them has the records.
TEST(topic_relay_client, leavesNobodyToAskWhileAllHoldersAreBlocked)
{
    fixture.client.setReaders({instance("a")}, {instance("b")});
    for (const char *name : {"a", "b"}) {
        fixture.client.block(instance_id(name), store_topic::endpoints, reader_failure::without_records, "", fixture.now);
    }
    CHECK_FALSE(fixture.client.isAnyUsable(store_topic::endpoints, fixture.now));
    fixture.now += 300ms;
    STRCMP_EQUAL("b", fixture.receiver(store_topic::endpoints).c_str());
}

// Guards against a request that waits for a holder that is no longer listed, after the partitions have been assigned anew.
TEST(topic_relay_client, asksTheHoldersOfTheNewestList)
{
    fixture.client.setReaders({}, {instance("b"), instance("c")});
    fixture.client.block(instance_id("b"), store_topic::operators, reader_failure::unresponsive, "", fixture.now);
    fixture.client.setReaders({}, {instance("d"), instance("b")});
    STRCMP_EQUAL("d", fixture.receiver(store_topic::operators).c_str());
    fixture.client.block(instance_id("c"), store_topic::operators, reader_failure::without_records, "", fixture.now);
    STRCMP_EQUAL("d", fixture.receiver(store_topic::operators).c_str());
}
