#pragma once

#include "state/snapshot.h"

#include <memory>

namespace burdockshelf
{

/// The replayed state without the claims. Immutable; tasks share it through messages.
struct state_view
{
    log_offset covered {-1};
    configuration config;
    std::map<key_id, key_state> keys;
    std::map<drain_target, drain_state> drains;
    std::map<data_centre_id, roster_state> rosters;
    pending_reallocations reallocations;
};

using state_view_ptr = std::shared_ptr<const state_view>;

} // namespace burdockshelf
