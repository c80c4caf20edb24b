#pragma once

#include "state/log_record.h"
#include "wire/json_reader.h"
#include "wire/json_writer.h"

namespace burdockshelf
{

/// Claims and their outcomes as parts of other documents. The read functions return no error; it is kept in the reader, see
/// json_reader::result().
void writeClaim(json_writer &writer, const claim &entry);
claim readClaim(json_reader &reader);
void writeClaimOutcome(json_writer &writer, const claim_outcome &entry);
claim_outcome readClaimOutcome(json_reader &reader);

} // namespace burdockshelf
