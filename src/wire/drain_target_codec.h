#pragma once

#include "state/log_record.h"
#include "wire/json_reader.h"
#include "wire/json_writer.h"

namespace burdockshelf
{

/// The target of a drain, as the members "target_kind" and "target". The read function returns no error; it is kept in the reader.
void writeDrainTarget(json_writer &writer, const drain_target &target);
drain_target readDrainTarget(json_reader &reader);

} // namespace burdockshelf
