#pragma once

#include "metrics/service_level_tracker.h"
#include "operators/status_board.h"

#include <string>

namespace burdockshelf
{

/// Serializes the status board as JSON. Deadlines are written as the remaining milliseconds.
std::string statusJson(const status_board &board, instant now);

/// Serializes the error budget burn as JSON, with the settings that a reader needs to compute burn rates of merged rows.
std::string burnJson(const service_level_tracker &ledger, instant now);

} // namespace burdockshelf
