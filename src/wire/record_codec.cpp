#include "wire/record_codec.h"

#include "wire/claim_codec.h"
#include "wire/configuration_codec.h"
#include "wire/drain_target_codec.h"
#include "wire/roster_codec.h"
#include "wire/snapshot_codec.h"

namespace burdockshelf
{

namespace
{

// Version of the record bodies that this build writes, and the newest version that it reads.
constexpr int bodyVersion = 1;

/// Name of a kind of record, and the function that reads its body.
struct record_kind
{
    std::string_view name;
    log_record (*read)(json_reader &reader);
};

log_record readChange(json_reader &reader)
{
    return readConfigurationChange(reader);
}

log_record readGrant(json_reader &reader)
{
    key_grant grant;
    grant.key = reader.id<key_id>("key");
    grant.workspace = reader.id<workspace_id>("workspace");
    grant.salt = reader.text("salt");
    grant.digest = reader.nonEmptyText("digest");
    return grant;
}

log_record readWithdrawal(json_reader &reader)
{
    return key_withdrawal {reader.id<key_id>("key")};
}

template<bool isDrained>
log_record readDrain(json_reader &reader)
{
    drain_change change;
    change.target = readDrainTarget(reader);
    change.sequence = reader.integer("sequence");
    change.isDrained = isDrained;
    return change;
}

log_record readRoster(json_reader &reader)
{
    roster_change change;
    change.dataCentre = reader.id<data_centre_id>("data_centre");
    change.epoch = reader.amount<roster_epoch>("epoch");
    change.members = readMembers(reader, "members");
    change.leaver = readOptionalMember(reader, "leaver");
    return change;
}

log_record readTakeover(json_reader &reader)
{
    return readRosterTakeover(reader);
}

log_record readReset(json_reader &reader)
{
    roster_reset reset;
    reset.dataCentre = reader.id<data_centre_id>("data_centre");
    reset.epoch = reader.amount<roster_epoch>("epoch");
    return reset;
}

log_record readClaims(json_reader &reader)
{
    claim_batch batch;
    batch.at = record_time(reader.integer("at_ms"));
    for (json_reader &entry : reader.objects("claims")) {
        batch.claims.push_back(readClaim(entry));
    }
    return batch;
}

log_record readOutcomes(json_reader &reader)
{
    outcome_batch batch;
    batch.at = record_time(reader.integer("at_ms"));
    for (json_reader &entry : reader.objects("outcomes")) {
        batch.outcomes.push_back(readClaimOutcome(entry));
    }
    return batch;
}

log_record readState(json_reader &reader)
{
    return readSnapshot(reader);
}

constexpr record_kind recordKinds[] = {
    {"configuration", &readChange},
    {"key_grant", &readGrant},
    {"key_withdraw", &readWithdrawal},
    {"drain", &readDrain<true>},
    {"undrain", &readDrain<false>},
    {"roster", &readRoster},
    {"roster_takeover", &readTakeover},
    {"roster_reset", &readReset},
    {"claims", &readClaims},
    {"outcomes", &readOutcomes},
    {"snapshot", &readState},
};

const record_kind *findKind(std::string_view name)
{
    for (const record_kind &kind : recordKinds) {
        if (kind.name == name) {
            return &kind;
        }
    }
    return nullptr;
}

/// Writes the body of a record and returns the name of its kind.
struct body_writer
{
    json_writer &writer;

    std::string_view operator()(const configuration_change &change) const
    {
        writeConfigurationChange(writer, change);
        return "configuration";
    }

    std::string_view operator()(const key_grant &grant) const
    {
        writer.set("key", grant.key);
        writer.set("workspace", grant.workspace);
        writer.set("salt", grant.salt);
        writer.set("digest", grant.digest);
        return "key_grant";
    }

    std::string_view operator()(const key_withdrawal &withdrawal) const
    {
        writer.set("key", withdrawal.key);
        return "key_withdraw";
    }

    std::string_view operator()(const drain_change &change) const
    {
        writeDrainTarget(writer, change.target);
        writer.set("sequence", change.sequence);
        return change.isDrained ? "drain" : "undrain";
    }

    std::string_view operator()(const roster_change &change) const
    {
        writer.set("data_centre", change.dataCentre);
        writer.set("epoch", change.epoch);
        writeMembers(writer, "members", change.members);
        writeOptionalMember(writer, "leaver", change.leaver);
        return "roster";
    }

    std::string_view operator()(const roster_takeover &takeover) const
    {
        writeRosterTakeover(writer, takeover);
        return "roster_takeover";
    }

    std::string_view operator()(const roster_reset &reset) const
    {
        writer.set("data_centre", reset.dataCentre);
        writer.set("epoch", reset.epoch);
        return "roster_reset";
    }

    std::string_view operator()(const claim_batch &batch) const
    {
        writer.set("at_ms", batch.at.count());
        writer.array("claims");
        for (const claim &entry : batch.claims) {
            json_writer element = writer.append("claims");
            writeClaim(element, entry);
        }
        return "claims";
    }

    std::string_view operator()(const outcome_batch &batch) const
    {
        writer.set("at_ms", batch.at.count());
        writer.array("outcomes");
        for (const claim_outcome &entry : batch.outcomes) {
            json_writer element = writer.append("outcomes");
            writeClaimOutcome(element, entry);
        }
        return "outcomes";
    }

    std::string_view operator()(const snapshot &state) const
    {
        writeSnapshot(writer, state);
        return "snapshot";
    }

    std::string_view operator()(const unknown_record &record) const
    {
        return record.kind;
    }
};

} // namespace

encoded_record encodeRecord(const log_record &record)
{
    if (const auto *unknown = std::get_if<unknown_record>(&record)) {
        return {unknown->kind, unknown->body};
    }
    json_writer writer;
    writer.set("version", bodyVersion);
    const std::string_view kind = std::visit(body_writer {writer}, record);
    return {std::string(kind), writer.toString()};
}

outcome<log_record> decodeRecord(std::string_view kind, std::string_view body)
{
    const record_kind *known = findKind(kind);
    if (known == nullptr) {
        return log_record(unknown_record {std::string(kind), std::string(body)});
    }
    BOOST_OUTCOME_TRY(reader, json_reader::parse(body));
    const std::int64_t version = reader.integer("version", {1});
    BOOST_OUTCOME_TRYV(reader.result());
    if (version > bodyVersion) {
        return log_record(unknown_record {std::string(kind), std::string(body)});
    }
    log_record record = known->read(reader);
    BOOST_OUTCOME_TRYV(reader.finish());
    return record;
}

} // namespace burdockshelf
