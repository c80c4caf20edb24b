#include "state/generated_log.h"

#include "support/property.h"

using namespace burdockshelf;

namespace
{

constexpr std::size_t logSize = 60;

/// Applies the records in random batches, some repeated and some out of order, and checks that the covered offset and the configuration
/// version never decrease.
void feed(log_replay &reader, std::vector<stored_record> records, random_source &random)
{
    const std::vector<stored_record> whole = records;
    for (std::size_t i = 0; i + 1 < records.size(); ++i) {
        std::swap(records[i], records[i + random.below(std::min<std::size_t>(4, records.size() - i))]);
    }
    while (!records.empty()) {
        const auto count = static_cast<std::ptrdiff_t>(1 + random.below(std::min<std::size_t>(7, records.size())));
        std::vector<stored_record> batch(records.begin(), records.begin() + count);
        records.erase(records.begin(), records.begin() + count);
        batch.push_back(whole[random.below(whole.size())]);
        const log_offset covered = reader.covered();
        const configuration_version version = reader.view()->config.version;
        reader.apply(batch);
        RC_ASSERT(reader.covered() >= covered);
        RC_ASSERT(reader.view()->config.version >= version);
    }
}

claim_batch claimBy(const char *request, std::int64_t at)
{
    return {record_time(at), {{{workspace_id("w"), idempotency_key("k")}, request_id(request), incarnation_id("c"), "f"}}};
}

outcome_batch releaseBy(const char *request, std::int64_t at)
{
    return {record_time(at), {{{workspace_id("w"), idempotency_key("k")}, request_id(request), true, 0, "", ""}}};
}

/// A log_replay that assigns the next offset to each record.
struct sequential_reader
{
    log_replay replay {record_time(1000)};

    record_verdict apply(log_record record)
    {
        const replay_result result = replay.apply({{replay.covered() + log_offset(1), record_id("r"), std::move(record)}});
        return result.verdicts.at(0);
    }

    const claim_state &onlyClaim() const
    {
        return replay.claims().begin()->second;
    }
};

} // namespace

TEST_GROUP(log_replays) {};

// Guards against a state that depends on the batches and the order in which records arrive.
TEST(log_replays, agreeRegardlessOfBatches)
{
    CHECK_PROPERTY("a reader that starts at offset 0 reaches the same state", [](std::uint64_t seed) {
        const generated_log log(seed, logSize);
        random_source random(seed + 1);
        log_replay reader(generated_log::window, generated_log::window);
        feed(reader, log.records(), random);
        RC_ASSERT(reader.state() == log.stateAfter(logSize));
        RC_ASSERT(!reader.hasGap());
    });
}

// Guards against a new reader that takes an old snapshot for the current state, and against one that never starts on a truncated log
// although a usable snapshot is in it.
TEST(log_replays, startFromASnapshotInATruncatedLog)
{
    CHECK_PROPERTY("a reader that starts at any offset reaches the same state or waits", [](std::uint64_t seed) {
        const generated_log log(seed, logSize);
        random_source random(seed + 1);
        const std::size_t first = random.below(logSize);
        log_replay reader(generated_log::window, generated_log::window);
        feed(reader, log.from(first), random);
        const bool isReadable = log.canReconstructFrom(first);
        RC_CLASSIFY(isReadable, "readable");
        RC_ASSERT(reader.state() == log.stateAfter(isReadable ? logSize : 0));
        RC_ASSERT(reader.hasGap() == !isReadable);
    });
}

// Guards against lost or repeated records after loading a peer's state, and against an older peer state that replaces a newer one.
TEST(log_replays, startFromAPeer)
{
    CHECK_PROPERTY("a reader that loads a peer's state reaches the same state", [](std::uint64_t seed) {
        const generated_log log(seed, logSize);
        random_source random(seed + 1);
        const std::size_t covered = random.below(logSize);
        log_replay reader(generated_log::window, generated_log::window);
        reader.load(log.stateAfter(covered));
        RC_ASSERT(reader.state() == log.stateAfter(covered));
        feed(reader, log.from(random.below(covered + 1)), random);
        RC_ASSERT(reader.state() == log.stateAfter(logSize));
        reader.load(log.stateAfter(random.below(logSize)));
        RC_ASSERT(reader.state() == log.stateAfter(logSize));
    });
}

// Guards against accepting several, or none, of the changes that race on the same base version or sequence.
TEST(log_replays, acceptExactlyOneOfRacingChanges)
{
    CHECK_PROPERTY("exactly one change is accepted for each base version", [](std::uint64_t seed) {
        const generated_log log(seed, logSize);
        std::map<configuration_version, int> acceptedByBase;
        for (std::size_t i = 0; i < logSize; ++i) {
            if (const auto *change = std::get_if<configuration_change>(&log.records()[i].record)) {
                acceptedByBase[change->base] += log.verdicts()[i].isAccepted() ? 1 : 0;
            }
        }
        const configuration_version last = log.stateAfter(logSize).config.version;
        for (configuration_version base; base < last; base += configuration_version(1)) {
            RC_ASSERT(acceptedByBase[base] == 1);
        }
    });
    sequential_reader reader;
    CHECK_TRUE(reader.apply(configuration_change {}).isAccepted());
    CHECK_TRUE(reader.apply(configuration_change {}).rejection == record_rejection::base_superseded);
    const drain_change drain = {endpoint_id("e"), 0, true};
    CHECK_TRUE(reader.apply(drain).isAccepted());
    CHECK_TRUE(reader.apply(drain).rejection == record_rejection::sequence_superseded);
}

// Guards against a withdrawn key that becomes valid again, through a late copy of its grant or a grant that arrives after the withdrawal.
TEST(log_replays, neverReviveAWithdrawnKey)
{
    sequential_reader reader;
    const key_grant grant = {key_id("a"), workspace_id("w"), "salt", "digest"};
    CHECK_TRUE(reader.apply(grant).isAccepted());
    CHECK_TRUE(reader.apply(key_withdrawal {key_id("a")}).isAccepted());
    CHECK_TRUE(reader.apply(grant).rejection == record_rejection::key_withdrawn);
    CHECK_TRUE(reader.apply(key_withdrawal {key_id("b")}).isAccepted());
    CHECK_TRUE(reader.apply(key_grant {key_id("b"), workspace_id("w"), "salt", "digest"}).rejection == record_rejection::key_withdrawn);
    sequential_reader fresh;
    fresh.replay.load(reader.replay.state());
    CHECK_TRUE(fresh.apply(grant).rejection == record_rejection::key_withdrawn);
}

// Guards against a roster that is replaced by a stale proposal, and against a takeover that stays pending after a
// roster change, which an old member makes once it has answered.
TEST(log_replays, orderRostersByEpoch)
{
    sequential_reader reader;
    const data_centre_id here("d");
    const roster_member member = {instance_id("i"), incarnation_id("1")};
    CHECK_TRUE(reader.apply(roster_takeover {here, {}, member}).rejection == record_rejection::epoch_superseded);
    CHECK_TRUE(reader.apply(roster_change {here, roster_epoch(1), {member}}).isAccepted());
    CHECK_TRUE(reader.apply(roster_change {here, roster_epoch(1), {}}).rejection == record_rejection::epoch_superseded);
    CHECK_TRUE(reader.apply(roster_takeover {here, roster_epoch(1), member}).isAccepted());
    CHECK_TRUE(reader.apply(roster_takeover {here, roster_epoch(1), member}).rejection == record_rejection::takeover_pending);
    CHECK_TRUE(reader.apply(roster_reset {here, roster_epoch(1)}).isAccepted());
    CHECK_TRUE(reader.replay.view()->rosters.at(here).takeoverOffset == log_offset(3));
    CHECK_TRUE(reader.apply(roster_change {here, roster_epoch(2), {member}}).isAccepted());
    const roster_state roster = reader.replay.view()->rosters.at(here);
    CHECK_TRUE(!roster.takeover && !roster.isReset && roster.fencingOffset == log_offset(6));
}

// Guards against a claim won by two requests, and against a released claim that is won again by a late copy of an earlier claim record.
TEST(log_replays, giveAClaimToTheLowestOffset)
{
    sequential_reader reader;
    CHECK_TRUE(reader.apply(claimBy("q1", 10)).isAccepted());
    CHECK_TRUE(reader.apply(claimBy("q2", 5)).rejection == record_rejection::claims_lost);
    CHECK_TRUE(reader.apply(releaseBy("q2", 11)).rejection == record_rejection::claims_not_held);
    CHECK_TRUE(reader.apply(releaseBy("q1", 12)).isAccepted());
    CHECK_TRUE(reader.apply(claimBy("q1", 10)).rejection == record_rejection::claims_lost);
    CHECK_TRUE(reader.apply(claimBy("q2", 13)).isAccepted());
    CHECK_TRUE(reader.apply(releaseBy("q2", 14)).isAccepted());
    CHECK_TRUE(reader.apply(claimBy("q1", 10)).rejection == record_rejection::claims_lost);
    CHECK_TRUE(reader.onlyClaim().winner.request == request_id("q2"));
}

// Guards against a claim that is dropped within the window, and against a late copy of a dropped claim that wins again.
TEST(log_replays, dropClaimsAfterTheWindowOnly)
{
    sequential_reader reader;
    CHECK_TRUE(reader.apply(claimBy("q1", 10)).isAccepted());
    CHECK_TRUE(reader.apply(claimBy("q2", 1009)).rejection == record_rejection::claims_lost);
    const replay_result result = reader.replay.apply({{log_offset(2), record_id("r"), outcome_batch {record_time(1010), {}}}});
    CHECK_EQUAL(1U, result.expiredClaims.size());
    CHECK_TRUE(reader.apply(claimBy("q1", 10)).rejection == record_rejection::claims_lost);
    CHECK_TRUE(reader.apply(claimBy("q3", 11)).isAccepted());
}

// Guards against unsupported records that stop replay or are not counted.
TEST(log_replays, skipAndCountUnknownRecords)
{
    sequential_reader reader;
    CHECK_TRUE(reader.apply(unknown_record {"later", "{}"}).rejection == record_rejection::unknown_record);
    CHECK_TRUE(reader.apply(key_withdrawal {key_id("a")}).isAccepted());
    CHECK_EQUAL(1U, reader.replay.skippedRecords());
}

// Guards against a new incarnation that misses a pending reallocation, and against a reallocation that stays pending forever.
TEST(log_replays, keepAReallocationForItsWindow)
{
    const data_centre_id here("a");
    configuration_change first;
    first.dataCentres = {{here, data_centre_settings()}, {data_centre_id("b"), data_centre_settings()}};
    first.workspaces[workspace_id("w")] = workspace_settings {token_rate(100), token_count(1000), {}};
    configuration_change second;
    second.base = configuration_version(1);
    second.workspaces[workspace_id("w")] = workspace_settings {token_rate(100), token_count(1000), {{here, 3}}};
    second.at = record_time(1000);
    log_replay reader(record_time(10), record_time(100));
    reader.apply({{log_offset(0), record_id("r"), first}, {log_offset(1), record_id("r"), second}});
    log_replay fresh(record_time(10), record_time(100));
    fresh.load(reader.state());
    fresh.apply({{log_offset(2), record_id("r"), claimBy("q1", 1099)}});
    CHECK_TRUE(fresh.view()->reallocations.at(workspace_id("w")).smallest.at(here) == (workspace_share {token_rate(50), token_count(500)}));
    fresh.apply({{log_offset(3), record_id("r"), claimBy("q1", 1100)}});
    CHECK_TRUE(fresh.view()->reallocations.empty());
}
