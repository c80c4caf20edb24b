#pragma once

#include "forwarding/stage_balance.h"

#include <variant>
#include <vector>

namespace burdockshelf
{

/// The engines that this instance knows, sent again and again.
struct engines_listed
{
    std::vector<staged_endpoint> engines;
};

using duty_message = std::variant<engines_listed>;

} // namespace burdockshelf
