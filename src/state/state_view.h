#pragma once

#include "state/snapshot.h"

#include <memory>

namespace burdockshelf
{

/// What replay has led to, without the claims: an immutable value that tasks share by message.
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
