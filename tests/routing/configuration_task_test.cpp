#include "routing/configuration_task.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const peer otherPeer = {instance_id("j"), incarnation_id("2"), data_centre_id("d"), {"127.0.0.1", 9}};

/// A configuration_task with sinks that record what it posts.
struct fixture
{
    event_loop loop;
    std::shared_ptr<mailbox<configuration_task_message>> box = std::make_shared<mailbox<configuration_task_message>>(loop, 100);
    std::vector<state_view_ptr> views;
    std::vector<claims_changed> claims;
    std::vector<append_request> appends;
    std::vector<log_offset> seeks;
    std::vector<peer_envelope> sentToPeers;
    std::vector<peer_message> answers;
    std::vector<configuration_report> reports;
    bool isReceiverFull = false;
    std::unique_ptr<configuration_task> task;

    fixture()
    {
        configuration_task_sinks sinks;
        sinks.views.push_back(sink<view_changed>([this](view_changed &&message) {
            if (isReceiverFull) {
                return post_result::full;
            }
            views.push_back(message.view);
            return post_result::delivered;
        }));
        sinks.claims.push_back(sink<claims_changed>([this](claims_changed &&message) {
            if (isReceiverFull) {
                return post_result::full;
            }
            claims.push_back(std::move(message));
            return post_result::delivered;
        }));
        sinks.append = recordInto(appends);
        sinks.peers = recordInto(sentToPeers);
        sinks.seek = sink<seek_request>([this](seek_request &&message) {
            seeks.push_back(message.next);
            return post_result::delivered;
        });
        sinks.reports = sink<configuration_report>([this](configuration_report &&message) {
            reports.push_back(message);
            return post_result::delivered;
        });
        configuration_task_settings settings;
        settings.reportInterval = 1ms;
        settings.self = {instance_id("i"), incarnation_id("1")};
        task = std::make_unique<configuration_task>(loop, box, settings, std::move(sinks), random_source(7));
        CHECK_TRUE(task->start().has_value());
    }

    template<typename Message>
    static sink<Message> recordInto(std::vector<Message> &messages)
    {
        return sink<Message>([&messages](Message &&message) {
            messages.push_back(std::move(message));
            return post_result::delivered;
        });
    }

    void sendAndRun(configuration_task_message message)
    {
        CHECK_TRUE(box->post(std::move(message)) == post_result::delivered);
        loop.runReady();
    }

    void sendFromPeer(peer_message message)
    {
        sendAndRun(peer_message_received {otherPeer, std::move(message), recordInto(answers)});
    }
};

std::vector<stored_record> withdrawals(std::int64_t first, std::int64_t count)
{
    std::vector<stored_record> records;
    for (std::int64_t i = first; i < first + count; ++i) {
        records.push_back({log_offset(i), record_id("r"), key_withdrawal {key_id(std::to_string(i))}});
    }
    return records;
}

log_batch batch(std::vector<stored_record> records, std::int64_t head, std::int64_t first = 0)
{
    return {log_offset(first), log_offset(head), std::move(records), boot_clock::now()};
}

stored_record claimAt(std::int64_t offset)
{
    const claim wanted = {{workspace_id("w"), idempotency_key("k")}, request_id("q"), incarnation_id("1"), "f"};
    return {log_offset(offset), record_id("r"), claim_batch {record_time(1), {wanted}}};
}

} // namespace

TEST_GROUP(configuration_tasks) {};

// Guards against receivers that miss a change, and against one message per record or for unrelated claims.
TEST(configuration_tasks, publishOncePerBatch)
{
    fixture f;
    f.sendAndRun(batch(withdrawals(0, 3), 4));
    CHECK_EQUAL(1U, f.views.size());
    CHECK_EQUAL(3U, f.views.at(0)->keys.size());
    CHECK_EQUAL(0U, f.claims.size());
    f.sendAndRun(batch({claimAt(3)}, 4));
    CHECK_EQUAL(1U, f.views.size());
    CHECK_TRUE(f.claims.at(0).states.at(0).winner.request == request_id("q"));
    f.sendAndRun(republish_request {});
    CHECK_EQUAL(2U, f.views.size());
    CHECK_EQUAL(2U, f.claims.size());
}

// Guards against a change that is lost because a receiver's mailbox was full.
TEST(configuration_tasks, repeatWhatAFullReceiverMissed)
{
    fixture f;
    f.isReceiverFull = true;
    f.sendAndRun(batch(withdrawals(0, 1), 2));
    f.sendAndRun(batch({claimAt(1)}, 2));
    f.isReceiverFull = false;
    f.sendAndRun(batch({}, 2));
    CHECK_EQUAL(1U, f.views.size());
    CHECK_EQUAL(1U, f.claims.size());
}

// Guards against a data centre that cannot reach the log and gets old records, no records, or the whole state for every record.
TEST(configuration_tasks, sendPeersTheRecordsOrStateTheyLack)
{
    fixture f;
    f.sendAndRun(batch(withdrawals(0, 3), 3));
    CHECK_EQUAL(0U, f.sentToPeers.size());
    f.sendFromPeer(peer_state_request {log_offset(0)});
    CHECK_EQUAL(2U, std::get<record_relay>(f.answers.at(0)).records.size());
    f.sendFromPeer(peer_state_request {log_offset(2)});
    CHECK_FALSE(std::get<acknowledgement>(f.answers.at(1)).isAccepted);
    f.sendAndRun(batch(withdrawals(3, 1), 4));
    CHECK_TRUE(f.sentToPeers.at(0).to == otherPeer.instance);
    CHECK_EQUAL(1U, std::get<record_relay>(f.sentToPeers.at(0).send.message).records.size());
    f.sendFromPeer(record_relay {withdrawals(3, 2)});
    CHECK_EQUAL(5U, f.views.back()->keys.size());
}

// Guards against an instance that starts during a log outage and stays without keys, or replays the whole log again afterwards.
TEST(configuration_tasks, loadStateFromAPeerWhileTheLogIsDown)
{
    fixture f;
    f.sendAndRun(log_unreachable {{error_code::unavailable, "down"}});
    CHECK_EQUAL(0U, f.sentToPeers.size());
    f.sendAndRun(peer_status {otherPeer, true});
    CHECK_TRUE(std::get<peer_state_request>(f.sentToPeers.at(0).send.message).covered == log_offset(-1));
    snapshot state;
    state.covered = log_offset(40);
    state.keys[key_id("a")].isWithdrawn = true;
    f.sendAndRun(peer_response {1, otherPeer.instance, peer_message(peer_state_response {state})});
    CHECK_TRUE(f.views.at(0)->covered == log_offset(40));
    CHECK_TRUE(f.seeks.back() == log_offset(41));
    f.sendFromPeer(peer_state_request {log_offset(-1)});
    CHECK_TRUE(std::get<peer_state_response>(f.answers.at(0)).state == state);
    f.sendAndRun(peer_response {2, otherPeer.instance, peer_message(peer_state_response {})});
    CHECK_EQUAL(1U, f.views.size());
}

// Guards against a reader that waits for ever for records that were deleted from the log without a usable snapshot, although peers have the
// state.
TEST(configuration_tasks, requestStateBehindATruncatedLog)
{
    fixture f;
    f.sendAndRun(peer_status {otherPeer, true});
    f.sendAndRun(batch(withdrawals(7, 2), 9, 7));
    CHECK_EQUAL(1U, f.sentToPeers.size());
    CHECK_EQUAL(0U, f.views.size());
    snapshot state;
    state.covered = log_offset(6);
    f.sendAndRun(peer_response {1, otherPeer.instance, peer_message(peer_state_response {state})});
    CHECK_TRUE(f.views.at(0)->covered == log_offset(8));
    CHECK_TRUE(f.seeks == std::vector<log_offset> {log_offset(0)});
}

// Guards against records that are deleted from the log before a snapshot covers them, and against snapshots that are written endlessly.
TEST(configuration_tasks, writeASnapshotWhenAThirdOfTheLogFollowsTheLastOne)
{
    fixture f;
    f.sendAndRun(batch(withdrawals(0, 31), 31));
    f.loop.runReady();
    CHECK_EQUAL(0U, f.appends.size());
    f.sendAndRun(batch(withdrawals(31, 9), 40));
    f.loop.runReady();
    CHECK_EQUAL(1U, f.appends.size());
    const auto &written = std::get<snapshot>(f.appends.at(0).record);
    CHECK_TRUE(written.covered == log_offset(39) && written.keys.size() == 40U);
    f.sendAndRun(batch({{log_offset(40), record_id("r"), written}}, 41));
    f.sendAndRun(batch(withdrawals(41, 31), 72));
    f.loop.runReady();
    CHECK_EQUAL(1U, f.appends.size());
}

// Guards against operators who wait for ever for the offset of a record that changes nothing else.
TEST(configuration_tasks, reportEveryCoveredOffset)
{
    fixture f;
    timer wait(f.loop, [&] { f.loop.stop(); });
    f.sendAndRun(batch({claimAt(0)}, 1));
    f.sendAndRun(batch(withdrawals(1, 3), 4));
    wait.start(deadline::after(boot_clock::now(), 20ms));
    f.loop.run();
    CHECK_TRUE(f.reports.back() == configuration_report({{}, log_offset(3)}));
}
