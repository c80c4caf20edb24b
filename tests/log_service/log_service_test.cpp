#include "log_service/fake_platform.h"
#include "log_service/log_service_supervisor.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

const std::string keyWithdrawalBody = R"({"version":1,"key":"a"})";

/// Runs the log service supervisor against a fake platform and records the messages that it posts.
struct log_service_fixture
{
    fake_platform platform;
    std::vector<log_batch> batches;
    std::vector<stored_record> records;
    std::vector<error> outages;
    std::vector<instance_list> lists;
    std::vector<append_result> appends;
    int fullMailboxReplies = 0;
    std::unique_ptr<log_service_supervisor> branch;

    log_service_fixture()
    {
        log_service_settings settings;
        settings.log.platform = platform.address;
        settings.log.minRetryDelay = 1ms;
        settings.log.maxRetryDelay = 4ms;
        settings.log.readInterval = 1ms;
        settings.instances.platform = platform.address;
        settings.instances.self = {instance_id("i"), incarnation_id("1"), data_centre_id("d"), {"127.0.0.1", 9}, instance_state::live};
        settings.instances.interval = 10ms;
        log_service_sinks sinks;
        sinks.log.batches.push_back(sink<log_batch>([this](log_batch &&batch) { return receiveBatch(std::move(batch)); }));
        sinks.log.outages.push_back(sink<log_unreachable>([this](log_unreachable &&outage) {
            outages.push_back(outage.cause);
            return post_result::delivered;
        }));
        sinks.instances.push_back(sink<instance_list>([this](instance_list &&list) {
            lists.push_back(std::move(list));
            return post_result::delivered;
        }));
        branch = std::make_unique<log_service_supervisor>(platform.loop, settings, sinks, random_source(7));
        CHECK_TRUE(branch->start().has_value());
    }

    post_result receiveBatch(log_batch &&batch)
    {
        if (fullMailboxReplies > 0) {
            --fullMailboxReplies;
            return post_result::full;
        }
        records.insert(records.end(), batch.records.begin(), batch.records.end());
        batches.push_back(std::move(batch));
        return post_result::delivered;
    }

    bool hasRecords(std::size_t count)
    {
        return platform.runUntil([&] { return records.size() >= count; });
    }

    append_result append()
    {
        const sink<append_result> reply([this](append_result &&result) {
            appends.push_back(std::move(result));
            return post_result::delivered;
        });
        CHECK_TRUE(branch->log().post(append_request {record_id("mine"), key_withdrawal {key_id("a")}, reply}) == post_result::delivered);
        CHECK_TRUE(platform.runUntil([&] { return !appends.empty(); }));
        return appends.at(0);
    }

    bool hasConsecutiveOffsets() const
    {
        for (std::size_t i = 0; i < records.size(); ++i) {
            if (records[i].offset != log_offset(static_cast<std::int64_t>(i))) {
                return false;
            }
        }
        return true;
    }
};

} // namespace

TEST_GROUP(log_service) {};

// Guards against records that are missed or read twice, and against more than one long poll at a time.
TEST(log_service, readsTheLogByOneLongPoll)
{
    log_service_fixture f;
    f.platform.append("key_withdraw", keyWithdrawalBody);
    f.platform.append("key_withdraw", keyWithdrawalBody);
    CHECK_TRUE(f.hasRecords(2));
    CHECK_TRUE(f.platform.runUntil([&] { return !f.platform.heldReads.empty(); }));
    CHECK_EQUAL(1U, f.platform.heldReads.size());
    f.platform.append("key_withdraw", keyWithdrawalBody);
    CHECK_TRUE(f.hasRecords(3));
    CHECK_TRUE(f.hasConsecutiveOffsets());
    CHECK_TRUE(f.records.at(2).record == log_record(key_withdrawal {key_id("a")}));
    CHECK_TRUE(f.batches.back().head == log_offset(3));
    STRCMP_EQUAL("/log/read?from=0&wait_ms=1000&limit=1000", f.platform.readTargets.at(0).c_str());
}

// Guards against an outage that is not reported, and against missing records after an outage.
TEST(log_service, resumesReadingAfterAnOutage)
{
    log_service_fixture f;
    f.platform.pendingReadFailures = 3;
    f.platform.append("key_withdraw", keyWithdrawalBody);
    f.platform.append("key_withdraw", keyWithdrawalBody);
    CHECK_TRUE(f.hasRecords(2));
    CHECK_EQUAL(3U, f.outages.size());
    CHECK_TRUE(f.outages.at(0).code == error_code::unavailable);
    CHECK_TRUE(f.hasConsecutiveOffsets());
}

// Guards against records that are lost when a receiver's mailbox is full.
TEST(log_service, retriesABatchUntilItIsAccepted)
{
    log_service_fixture f;
    f.fullMailboxReplies = 2;
    f.platform.append("key_withdraw", keyWithdrawalBody);
    f.platform.append("key_withdraw", keyWithdrawalBody);
    CHECK_TRUE(f.hasRecords(2));
    CHECK_EQUAL(0, f.fullMailboxReplies);
    CHECK_TRUE(f.hasConsecutiveOffsets());
}

// Guards against a malformed record that stops reading or shifts the offsets of later records.
TEST(log_service, keepsOffsetsAfterAMalformedRecord)
{
    log_service_fixture f;
    f.platform.append("key_withdraw", "{");
    f.platform.append("key_withdraw", keyWithdrawalBody);
    CHECK_TRUE(f.hasRecords(2));
    CHECK_TRUE(f.hasConsecutiveOffsets());
    CHECK_TRUE(f.records.at(0).record == log_record(unknown_record {"key_withdraw", "{"}));
}

// Guards against reading the whole log again after the state was loaded from a peer at startup.
TEST(log_service, seeksToAnOffset)
{
    log_service_fixture f;
    CHECK_TRUE(f.platform.runUntil([&] { return !f.platform.heldReads.empty(); }));
    f.platform.records.resize(5, {log_offset(4), record_id("r"), {"key_withdraw", keyWithdrawalBody}});
    CHECK_TRUE(f.branch->log().post(seek_request {log_offset(4)}) == post_result::delivered);
    CHECK_TRUE(f.hasRecords(1));
    CHECK_TRUE(f.records.at(0).offset == log_offset(4));
}

// Guards against wrong results of appends: writers stop on invalid_argument only, and repeat the append after any other error.
TEST(log_service, reportsAppendResults)
{
    log_service_fixture stored;
    const append_result result = stored.append();
    CHECK_TRUE(result.id == record_id("mine") && result.result.has_value() && result.result.value() == log_offset(0));
    CHECK_TRUE(stored.hasRecords(1));

    log_service_fixture lost;
    lost.platform.dropsAppendReplies = true;
    CHECK_TRUE(lost.append().result.error().code == error_code::connection_lost);
    CHECK_TRUE(lost.hasRecords(1));

    log_service_fixture refused;
    refused.platform.appendStatus = 400;
    CHECK_TRUE(refused.append().result.error().code == error_code::invalid_argument);

    log_service_fixture down;
    down.platform.appendStatus = 503;
    CHECK_TRUE(down.append().result.error().code == error_code::unavailable);
}

// Guards against an instance that is missing from the list, or still listed as live while it shuts down.
TEST(log_service, registersThisInstanceAndReadsTheList)
{
    log_service_fixture f;
    f.platform.listed = {{instance_id("j"), incarnation_id("2"), data_centre_id("d"), {"127.0.0.1", 8}, instance_state::leaving}};
    CHECK_TRUE(f.platform.runUntil([&] { return f.lists.size() >= 2 && f.platform.registered.size() >= 2; }));
    CHECK_TRUE(f.lists.at(0).instances == f.platform.listed);
    CHECK_TRUE(f.platform.registered.at(0).instance == instance_id("i"));
    CHECK_TRUE(f.branch->instances().post(announce_state {instance_state::leaving}) == post_result::delivered);
    CHECK_TRUE(f.platform.runUntil([&] { return f.platform.registered.back().state == instance_state::leaving; }));
}

// Guards against a shutdown that waits for the long poll or drops an append in flight.
TEST(log_service, shutsDownAfterAppendsInFlight)
{
    log_service_fixture f;
    bool isFinished = false;
    f.branch->setHandlers([](const error &) {}, [&] { isFinished = true; });
    CHECK_TRUE(f.platform.runUntil([&] { return !f.platform.heldReads.empty(); }));
    const sink<append_result> reply([&](append_result &&result) {
        f.appends.push_back(std::move(result));
        return post_result::delivered;
    });
    CHECK_TRUE(f.branch->log().post(append_request {record_id("mine"), key_withdrawal {}, reply}) == post_result::delivered);
    f.platform.loop.runReady();
    f.branch->beginShutdown();
    CHECK_TRUE(f.platform.runUntil([&] { return isFinished; }));
    CHECK_EQUAL(1U, f.appends.size());
}
