#include "wire/snapshot_codec.h"

#include "wire/claim_codec.h"
#include "wire/configuration_codec.h"
#include "wire/drain_target_codec.h"
#include "wire/roster_codec.h"

namespace burdockshelf
{

namespace
{

constexpr int snapshotVersion = 1;

void writeKey(json_writer &writer, const key_state &key)
{
    writer.set("workspace", key.workspace);
    writer.set("salt", key.salt);
    writer.set("digest", key.digest);
    writer.set("withdrawn", key.isWithdrawn);
}

key_state readKey(json_reader &reader)
{
    key_state key;
    key.workspace = workspace_id(reader.text("workspace"));
    key.salt = reader.text("salt");
    key.digest = reader.text("digest");
    key.isWithdrawn = reader.boolean("withdrawn");
    return key;
}

void writeRoster(json_writer &writer, const roster_state &roster)
{
    writer.set("epoch", roster.epoch);
    writer.set("since", roster.fencingOffset);
    writeMembers(writer, "members", roster.members);
    writeOptionalMember(writer, "leaver", roster.leaver);
    writer.set("reset", roster.isReset);
    if (roster.takeover) {
        json_writer takeover = writer.object("takeover");
        writeRosterTakeover(takeover, *roster.takeover);
        writer.set("takeover_at", roster.takeoverOffset);
    }
}

roster_state readRoster(json_reader &reader)
{
    roster_state roster;
    roster.epoch = reader.amount<roster_epoch>("epoch");
    roster.fencingOffset = reader.amount<log_offset>("since");
    roster.members = readMembers(reader, "members");
    roster.leaver = readOptionalMember(reader, "leaver");
    roster.isReset = reader.boolean("reset");
    if (reader.has("takeover")) {
        json_reader takeover = reader.object("takeover");
        roster.takeover = readRosterTakeover(takeover);
        roster.takeoverOffset = reader.amount<log_offset>("takeover_at");
    }
    return roster;
}

void writeClaimState(json_writer &writer, const claim_state &state)
{
    json_writer winner = writer.object("winner");
    writeClaim(winner, state.winner);
    writer.set("at_ms", state.at.count());
    if (state.ended) {
        json_writer ended = writer.object("ended");
        writeClaimOutcome(ended, *state.ended);
    }
    writer.array("released");
    for (const request_id &request : state.released) {
        writer.appendText("released", request.value());
    }
}

claim_state readClaimState(json_reader &reader)
{
    claim_state state;
    json_reader winner = reader.object("winner");
    state.winner = readClaim(winner);
    state.at = record_time(reader.integer("at_ms"));
    if (reader.has("ended")) {
        json_reader ended = reader.object("ended");
        state.ended = readClaimOutcome(ended);
    }
    for (std::string &request : reader.texts("released")) {
        state.released.emplace_back(std::move(request));
    }
    return state;
}

void writeKeys(json_writer &writer, const snapshot &state)
{
    json_writer keys = writer.object("keys");
    for (const auto &[id, key] : state.keys) {
        json_writer entry = keys.object(id.value());
        writeKey(entry, key);
    }
}

void writeDrains(json_writer &writer, const snapshot &state)
{
    writer.array("drains");
    for (const auto &[target, drain] : state.drains) {
        json_writer entry = writer.append("drains");
        writeDrainTarget(entry, target);
        entry.set("sequence", drain.sequence);
        entry.set("drained", drain.isDrained);
    }
}

void writeRosters(json_writer &writer, const snapshot &state)
{
    json_writer rosters = writer.object("rosters");
    for (const auto &[dataCentre, roster] : state.rosters) {
        json_writer entry = rosters.object(dataCentre.value());
        writeRoster(entry, roster);
    }
}

void writeClaims(json_writer &writer, const snapshot &state)
{
    writer.array("claims");
    for (const auto &[id, claimed] : state.claims) {
        json_writer entry = writer.append("claims");
        writeClaimState(entry, claimed);
    }
}

void writeReallocations(json_writer &writer, const snapshot &state)
{
    json_writer reallocations = writer.object("reallocations");
    for (const auto &[workspace, pending] : state.reallocations) {
        json_writer entry = reallocations.object(workspace.value());
        entry.set("at_ms", pending.at.count());
        json_writer shares = entry.object("smallest");
        for (const auto &[dataCentre, share] : pending.smallest) {
            json_writer shareEntry = shares.object(dataCentre.value());
            shareEntry.set("rate", share.rate);
            shareEntry.set("burst", share.burst);
        }
    }
}

void readKeys(json_reader &reader, snapshot &state)
{
    json_reader keys = reader.object("keys");
    for (const std::string &name : keys.names()) {
        json_reader entry = keys.object(name);
        state.keys.emplace(name, readKey(entry));
    }
}

void readDrains(json_reader &reader, snapshot &state)
{
    for (json_reader &entry : reader.objects("drains")) {
        const drain_target target = readDrainTarget(entry);
        const std::int64_t sequence = entry.integer("sequence");
        state.drains.emplace(target, drain_state {sequence, entry.boolean("drained")});
    }
}

void readRosters(json_reader &reader, snapshot &state)
{
    json_reader rosters = reader.object("rosters");
    for (const std::string &name : rosters.names()) {
        json_reader entry = rosters.object(name);
        state.rosters.emplace(name, readRoster(entry));
    }
}

void readClaims(json_reader &reader, snapshot &state)
{
    for (json_reader &entry : reader.objects("claims")) {
        claim_state claimed = readClaimState(entry);
        const claim_id id = claimed.winner.id;
        state.claims.emplace(id, std::move(claimed));
    }
}

pending_reallocation readReallocation(json_reader &reader)
{
    pending_reallocation pending;
    pending.at = record_time(reader.integer("at_ms"));
    json_reader shares = reader.object("smallest");
    for (const std::string &name : shares.names()) {
        json_reader shareEntry = shares.object(name);
        const auto rate = shareEntry.amount<token_rate>("rate");
        pending.smallest.emplace(name, workspace_share {rate, shareEntry.amount<token_count>("burst")});
    }
    return pending;
}

void readReallocations(json_reader &reader, snapshot &state)
{
    json_reader reallocations = reader.object("reallocations");
    for (const std::string &name : reallocations.names()) {
        json_reader entry = reallocations.object(name);
        state.reallocations.emplace(name, readReallocation(entry));
    }
}

} // namespace

std::string encodeSnapshot(const snapshot &state)
{
    json_writer writer;
    writer.set("version", snapshotVersion);
    writeSnapshot(writer, state);
    return writer.toString();
}

outcome<snapshot> decodeSnapshot(std::string_view text)
{
    BOOST_OUTCOME_TRY(reader, json_reader::parse(text));
    reader.integer("version", {snapshotVersion, snapshotVersion});
    snapshot state = readSnapshot(reader);
    BOOST_OUTCOME_TRYV(reader.finish());
    return state;
}

void writeSnapshot(json_writer &writer, const snapshot &state)
{
    writer.set("covered", state.covered);
    writer.set("latest_ms", state.latest.count());
    json_writer config = writer.object("configuration");
    config.set("in_force", state.config.version);
    writeConfiguration(config, state.config);
    writeKeys(writer, state);
    writeDrains(writer, state);
    writeRosters(writer, state);
    writeClaims(writer, state);
    writeReallocations(writer, state);
}

snapshot readSnapshot(json_reader &reader)
{
    snapshot state;
    state.covered = reader.amount<log_offset>("covered", {-1});
    state.latest = record_time(reader.integer("latest_ms"));
    json_reader config = reader.object("configuration");
    const auto version = config.amount<configuration_version>("in_force");
    state.config = readConfiguration(config);
    state.config.version = version;
    readKeys(reader, state);
    readDrains(reader, state);
    readRosters(reader, state);
    readClaims(reader, state);
    readReallocations(reader, state);
    return state;
}

} // namespace burdockshelf
