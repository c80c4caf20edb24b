#pragma once

#include "core/quantity.h"

namespace burdockshelf
{

/// Number of prompt and output tokens together, the unit of a workspace's quota.
using token_count = quantity<struct token_unit>;
/// Tokens per second.
using token_rate = quantity<struct token_rate_unit>;
using byte_count = quantity<struct byte_unit>;
/// Number of requests that an engine processes concurrently.
using slot_count = quantity<struct slot_unit>;
/// Position of a record in the platform's log, starting at 0.
using log_offset = quantity<struct log_offset_unit>;
/// Version of a data centre's roster.
using roster_epoch = quantity<struct roster_epoch_unit>;
/// Version of the configuration, starting at 1; 0 means that no configuration is active.
using configuration_version = quantity<struct configuration_version_unit>;
/// Fencing token of a command to an endpoint. An endpoint that checks it rejects commands with a lower token than one it has seen.
using fencing_token = quantity<struct fencing_token_unit>;

} // namespace burdockshelf
