#pragma once

#include "state/log_record.h"
#include "state/reallocation.h"

#include <cstdint>
#include <map>
#include <optional>

namespace burdockshelf
{

/// A key in force or withdrawn.
struct key_state
{
    workspace_id workspace;
    std::string salt;
    std::string digest;
    bool isWithdrawn = false;

    friend bool operator==(const key_state &, const key_state &) = default;
};

struct drain_state
{
    std::int64_t sequence = 0;
    bool isDrained = false;

    friend bool operator==(const drain_state &, const drain_state &) = default;
};

struct roster_state
{
    roster_epoch epoch;
    std::vector<roster_member> members;
    /// Copied from the record that made this epoch.
    std::optional<roster_member> leaver;
    /// Offset of the record that made this epoch; the fencing token of its owners.
    log_offset fencingOffset;
    /// The takeover that no roster record has ended yet.
    std::optional<roster_takeover> takeover;
    log_offset takeoverOffset;
    /// True when an operator has stated that the members of this epoch are switched off.
    bool isReset = false;

    friend bool operator==(const roster_state &, const roster_state &) = default;
};

/// A claim that won and what is known of its end.
struct claim_state
{
    claim winner;
    /// The highest time of any record that has won this claim; the claim is kept for the idempotency window from here.
    record_time at {};
    std::optional<claim_outcome> ended;
    /// Requests that have released the claim. A late copy of their claims must not win it again: nobody would end it.
    std::vector<request_id> released;

    friend bool operator==(const claim_state &, const claim_state &) = default;
};

/// Everything that replay of the log has led to, up to and with the covered offset. Also the state that peers hand to a starting instance.
struct snapshot
{
    /// -1 when nothing has been replayed.
    log_offset covered {-1};
    /// Highest writer's time in any record so far.
    record_time latest {};
    configuration config;
    std::map<key_id, key_state> keys;
    std::map<drain_target, drain_state> drains;
    std::map<data_centre_id, roster_state> rosters;
    std::map<claim_id, claim_state> claims;
    pending_reallocations reallocations;

    friend bool operator==(const snapshot &, const snapshot &) = default;
};

} // namespace burdockshelf
