#pragma once

#include "burdockshelfctl/command_context.h"
#include "core/units.h"

namespace burdockshelf
{

/// Waits until all instances of the command line have read the log up to the offset, or the wait limit is over. Shows progress on the error
/// stream.
exit_status waitForInstances(const command_context &context, log_offset offset);

} // namespace burdockshelf
