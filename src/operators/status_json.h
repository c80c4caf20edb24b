#pragma once

#include "metrics/burn_ledger.h"
#include "operators/status_board.h"

#include <string>

namespace burdockshelf
{

/// The board as JSON. Deadlines become the milliseconds that are left.
std::string statusJson(const status_board &board, instant now);

/// The burn rows as JSON, with the settings that a reader needs to work out burn rates of merged rows.
std::string burnJson(const burn_ledger &ledger, instant now);

} // namespace burdockshelf
