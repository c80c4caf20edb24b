#include "gateway/store_task.h"
#include "platform/platform.h"
#include "standins/users_platform/standin_store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto guardTime = 8s;
constexpr auto checkInterval = 5ms;

/// A store_task that follows a stand-in of the store, and a dispatcher whose mailbox takes few messages.
struct follower_fixture
{
    static constexpr std::size_t capacity = 2;

    event_loop loop;
    bool isTimedOut = false;
    timer guard {loop, [this] {
                     isTimedOut = true;
                     loop.stop();
                 }};
    standin_store store {loop};
    platform_adapter adapter;
    std::shared_ptr<mailbox<dispatch_message>> dispatcherBox = std::make_shared<mailbox<dispatch_message>>(loop, capacity);
    std::size_t droppedCount = 0;
    std::vector<store_record> operatorRecords;
    std::vector<store_record> endpointRecords;
    std::shared_ptr<mailbox<store_message>> followerBox = std::make_shared<mailbox<store_message>>(loop, 100);
    /// Takes requests to other instances, which nobody answers.
    std::shared_ptr<mailbox<mesh_supervisor_message>> meshBox = std::make_shared<mailbox<mesh_supervisor_message>>(loop, 100);
    std::unique_ptr<store_task> follower;

    follower_fixture()
    {
        guard.start(deadline::after(boot_clock::now(), guardTime));
        store.put("keyed.op", "config", "first");
        store.put("keyed.servers", "p", "ready");
        const event_log log(sink<log_line>([this](log_line &&line) {
            const std::string &text = line.text();
            droppedCount += text.find("event=message_dropped receiver=dispatcher") != std::string::npos ? 1 : 0;
            return post_result::delivered;
        }));
        store_settings settings;
        settings.address = store.address();
        settings.instance = instance_id("me");
        store_addresses to;
        to.dispatcher = address(dispatcherBox);
        to.mesh = address(meshBox);
        follower = std::make_unique<store_task>(loop, followerBox, settings, adapter.dialects().store, to, log, random_source(7));
        CHECK_TRUE(follower->start().has_value());
    }

    void startDispatcher()
    {
        dispatcherBox->attach([this](dispatch_message &&message) {
            if (auto *snapshot = std::get_if<topic_snapshot>(&message)) {
                collect(snapshot->topic, std::move(snapshot->records));
            } else if (auto *update = std::get_if<topic_update>(&message)) {
                collect(update->topic, std::move(update->records));
            }
        });
    }

    /// Fills the mailbox of a dispatcher that does not read.
    void stopDispatcher()
    {
        dispatcherBox->detach();
        while (dispatcherBox->post(store_reachability {true}) == post_result::delivered) { }
    }

    void runUntil(const std::function<bool()> &isDone)
    {
        timer check(loop, [&] {
            if (isDone()) {
                loop.stop();
            } else {
                check.start(deadline::after(boot_clock::now(), checkInterval));
            }
        });
        check.start(deadline());
        loop.run();
        CHECK_FALSE(isTimedOut);
    }

    static bool has(const std::vector<store_record> &records, const std::string &value)
    {
        return !records.empty() && records.back().value == value;
    }

private:
    void collect(store_topic topic, std::vector<store_record> &&records)
    {
        if (topic == store_topic::operators) {
            operatorRecords.insert(operatorRecords.end(), records.begin(), records.end());
        } else if (topic == store_topic::endpoints) {
            endpointRecords.insert(endpointRecords.end(), records.begin(), records.end());
        }
    }
};

} // namespace

// Guards against records that the dispatcher never gets because its mailbox was full when they were read: a configuration stayed out of
// force, and a leaving endpoint in use, until the key was written again.
TEST_GROUP(undelivered_records)
{
    follower_fixture fixture;
};

TEST(undelivered_records, ofAChangeAreReadAnew)
{
    fixture.startDispatcher();
    fixture.runUntil([&] { return fixture.has(fixture.operatorRecords, "first") && fixture.has(fixture.endpointRecords, "ready"); });
    fixture.stopDispatcher();
    fixture.droppedCount = 0;
    fixture.store.put("keyed.op", "config", "second");
    fixture.store.put("keyed.servers", "p", "draining");
    fixture.runUntil([&] { return fixture.droppedCount >= 2; });
    fixture.startDispatcher();
    fixture.runUntil([&] { return fixture.has(fixture.operatorRecords, "second") && fixture.has(fixture.endpointRecords, "draining"); });
}

// Guards against an instance that waits for ever for the records of another one, because the response was dropped between two tasks.
TEST(undelivered_records, ofAnotherInstanceAreReadAtTheStore)
{
    fixture.startDispatcher();
    fixture.runUntil([&] { return fixture.has(fixture.operatorRecords, "first"); });
    const peer_instance reader = {instance_id("other"), {"127.0.0.1", 1}};
    CHECK(fixture.followerBox->post(holders_listed {{{quota_partition(0), reader}}}) == post_result::delivered);
    // The poll at the store that is under way ends with this record; the next ones have to be asked for.
    fixture.store.put("keyed.op", "config", "second");
    fixture.runUntil([&] { return fixture.has(fixture.operatorRecords, "second"); });
    fixture.store.put("keyed.op", "config", "third");
    fixture.runUntil([&] { return fixture.has(fixture.operatorRecords, "third"); });
}

TEST(undelivered_records, ofTheFirstReadAreReadAnew)
{
    fixture.stopDispatcher();
    fixture.runUntil([&] { return fixture.droppedCount >= 4; });
    fixture.startDispatcher();
    fixture.runUntil([&] { return fixture.has(fixture.operatorRecords, "first") && fixture.has(fixture.endpointRecords, "ready"); });
}

// The records are read again after a pause, not as fast as the store answers.
TEST(undelivered_records, areNotReadWithoutAPause)
{
    fixture.stopDispatcher();
    const instant begun = boot_clock::now();
    fixture.runUntil([&] { return fixture.droppedCount >= 20; });
    const auto topics = static_cast<std::int64_t>(followedTopicCount);
    // Each topic is read at most once in a pause, and the first time at once.
    const auto pauses = (boot_clock::now() - begun) / topic_follower::undeliveredRetryDelay + 2;
    CHECK(static_cast<std::int64_t>(fixture.store.callCount()) <= topics * pauses);
}
