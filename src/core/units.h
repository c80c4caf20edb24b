#pragma once

#include "core/quantity.h"

namespace burdockshelf
{

/// Tokens of prompt and output together, the unit of a workspace's quota.
using token_count = quantity<struct token_unit>;
/// Tokens per second.
using token_rate = quantity<struct token_rate_unit>;
using byte_count = quantity<struct byte_unit>;
/// Requests that an engine holds at the same time.
using slot_count = quantity<struct slot_unit>;
/// Position of a record in the platform's log, from 0.
using log_offset = quantity<struct log_offset_unit>;
/// Version of a data centre's roster.
using roster_epoch = quantity<struct roster_epoch_unit>;
/// Version of the configuration, from 1; 0 means that none is in force.
using configuration_version = quantity<struct configuration_version_unit>;
/// Token that orders an order to an endpoint among others; an endpoint that checks it refuses lower ones.
using fencing_token = quantity<struct fencing_token_unit>;

} // namespace burdockshelf
