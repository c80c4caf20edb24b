#include "wire/claim_codec.h"

#include "wire/bytes_codec.h"

namespace burdockshelf
{

namespace
{

// Status 0 means that the outcome of the request is unknown.
constexpr number_range statusRange = {0, 599};

void writeId(json_writer &writer, const claim_id &id)
{
    writer.set("workspace", id.workspace);
    writer.set("key", id.key);
}

claim_id readId(json_reader &reader)
{
    claim_id id;
    id.workspace = reader.id<workspace_id>("workspace");
    id.key = reader.id<idempotency_key>("key");
    return id;
}

} // namespace

void writeClaim(json_writer &writer, const claim &entry)
{
    writeId(writer, entry.id);
    writer.set("request", entry.request);
    writer.set("claimant", entry.claimant);
    writer.set("fingerprint", entry.fingerprint);
}

claim readClaim(json_reader &reader)
{
    claim entry;
    entry.id = readId(reader);
    entry.request = reader.id<request_id>("request");
    entry.claimant = reader.id<incarnation_id>("claimant");
    entry.fingerprint = reader.text("fingerprint");
    return entry;
}

void writeClaimOutcome(json_writer &writer, const claim_outcome &entry)
{
    writeId(writer, entry.id);
    writer.set("request", entry.request);
    writer.set("released", entry.isReleased);
    if (entry.isReleased) {
        return;
    }
    writer.set("status", entry.status);
    writer.set("content_type", entry.contentType);
    writeBytes(writer, "body", entry.body);
}

claim_outcome readClaimOutcome(json_reader &reader)
{
    claim_outcome entry;
    entry.id = readId(reader);
    entry.request = reader.id<request_id>("request");
    entry.isReleased = reader.boolean("released");
    if (entry.isReleased) {
        return entry;
    }
    entry.status = static_cast<int>(reader.integer("status", statusRange));
    entry.contentType = reader.text("content_type");
    entry.body = readBytes(reader, "body");
    return entry;
}

} // namespace burdockshelf
