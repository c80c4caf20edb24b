#include "state/generated_log.h"

#include "support/property.h"

using namespace burdockshelf;

namespace
{

constexpr std::size_t logSize = 60;

/// Gives a reader the records in random batches, some twice and some out of order, and checks that it never goes back.
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

/// A reader that numbers the records itself.
struct numbered_reader
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

// Guards against readers whose state depends on how the log reached them.
TEST(log_replays, agreeWhateverTheBatches)
{
    CHECK_PROPERTY("a reader from offset 0 ends in the same state", [](std::uint64_t seed) {
        const generated_log log(seed, logSize);
        random_source random(seed + 1);
        log_replay reader(generated_log::window, generated_log::window);
        feed(reader, log.records(), random);
        RC_ASSERT(reader.state() == log.stateAfter(logSize));
        RC_ASSERT(!reader.hasGap());
    });
}

// Guards against a fresh reader that takes an old snapshot for the present, or one that never gets going behind a truncated log.
TEST(log_replays, startBehindATruncatedLogFromASnapshot)
{
    CHECK_PROPERTY("a reader from any offset ends in the same state or waits", [](std::uint64_t seed) {
        const generated_log log(seed, logSize);
        random_source random(seed + 1);
        const std::size_t first = random.below(logSize);
        log_replay reader(generated_log::window, generated_log::window);
        feed(reader, log.from(first), random);
        const bool isReadable = log.isReadableFrom(first);
        RC_CLASSIFY(isReadable, "readable");
        RC_ASSERT(reader.state() == log.stateAfter(isReadable ? logSize : 0));
        RC_ASSERT(reader.hasGap() == !isReadable);
    });
}

// Guards against a start from a peer that loses or repeats records, and against an older peer that takes the state back.
TEST(log_replays, startFromAPeer)
{
    CHECK_PROPERTY("a reader from a peer's state ends in the same state", [](std::uint64_t seed) {
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

// Guards against two winners, or none, of changes that race on one base, epoch or sequence.
TEST(log_replays, acceptExactlyOneOfRacingChanges)
{
    CHECK_PROPERTY("every accepted change raises the version by one", [](std::uint64_t seed) {
        const generated_log log(seed, logSize);
        std::map<configuration_version, int> acceptedPerBase;
        for (std::size_t i = 0; i < logSize; ++i) {
            if (const auto *change = std::get_if<configuration_change>(&log.records()[i].record)) {
                acceptedPerBase[change->base] += log.verdicts()[i].isAccepted() ? 1 : 0;
            }
        }
        const configuration_version last = log.stateAfter(logSize).config.version;
        for (configuration_version base; base < last; base += configuration_version(1)) {
            RC_ASSERT(acceptedPerBase[base] == 1);
        }
    });
    numbered_reader reader;
    CHECK_TRUE(reader.apply(configuration_change {}).isAccepted());
    CHECK_TRUE(reader.apply(configuration_change {}).rejection == record_rejection::base_superseded);
    const drain_change drain = {endpoint_id("e"), 0, true};
    CHECK_TRUE(reader.apply(drain).isAccepted());
    CHECK_TRUE(reader.apply(drain).rejection == record_rejection::sequence_superseded);
}

// Guards against a withdrawn key that a late copy of its grant, or one that overtook the withdrawal's writer, brings back.
TEST(log_replays, neverReviveAWithdrawnKey)
{
    numbered_reader reader;
    const key_grant grant = {key_id("a"), workspace_id("w"), "salt", "digest"};
    CHECK_TRUE(reader.apply(grant).isAccepted());
    CHECK_TRUE(reader.apply(key_withdrawal {key_id("a")}).isAccepted());
    CHECK_TRUE(reader.apply(grant).rejection == record_rejection::key_withdrawn);
    CHECK_TRUE(reader.apply(key_withdrawal {key_id("b")}).isAccepted());
    CHECK_TRUE(reader.apply(key_grant {key_id("b"), workspace_id("w"), "salt", "digest"}).rejection == record_rejection::key_withdrawn);
    numbered_reader fresh;
    fresh.replay.load(reader.replay.state());
    CHECK_TRUE(fresh.apply(grant).rejection == record_rejection::key_withdrawn);
}

// Guards against a roster that a stale proposal replaces, and against a takeover that goes on although an old member has answered.
TEST(log_replays, orderRostersByEpoch)
{
    numbered_reader reader;
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

// Guards against a claim that two requests win, or that a late copy of a released claim blocks.
TEST(log_replays, giveAClaimToTheLowestOffset)
{
    numbered_reader reader;
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

// Guards against a claim that is forgotten inside the window, and against a late copy of a forgotten one that wins again.
TEST(log_replays, forgetClaimsAfterTheWindowOnly)
{
    numbered_reader reader;
    CHECK_TRUE(reader.apply(claimBy("q1", 10)).isAccepted());
    CHECK_TRUE(reader.apply(claimBy("q2", 1009)).rejection == record_rejection::claims_lost);
    const replay_result result = reader.replay.apply({{log_offset(2), record_id("r"), outcome_batch {record_time(1010), {}}}});
    CHECK_EQUAL(1U, result.expiredClaims.size());
    CHECK_TRUE(reader.apply(claimBy("q1", 10)).rejection == record_rejection::claims_lost);
    CHECK_TRUE(reader.apply(claimBy("q3", 11)).isAccepted());
}

// Guards against unknown records that stop replay or go uncounted.
TEST(log_replays, skipAndCountUnknownRecords)
{
    numbered_reader reader;
    CHECK_TRUE(reader.apply(unknown_record {"later", "{}"}).rejection == record_rejection::unknown_record);
    CHECK_TRUE(reader.apply(key_withdrawal {key_id("a")}).isAccepted());
    CHECK_EQUAL(1U, reader.replay.skippedRecords());
}

// Guards against a fresh incarnation that does not know of a reallocation that others still wait for, and against one kept for good.
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
