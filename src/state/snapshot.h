#pragma once

#include "state/log_record.h"
#include "state/reallocation.h"

#include <cstdint>
#include <map>
#include <optional>

namespace burdockshelf
{

/// An API key, granted or withdrawn.
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
    /// Copied from the record that began this epoch.
    std::optional<roster_member> leaver;
    /// Offset of the record that began this epoch; the fencing token of the epoch's members.
    log_offset fencingOffset;
    /// The pending takeover; a roster change ends it.
    std::optional<roster_takeover> takeover;
    log_offset takeoverOffset;
    /// True when an operator has confirmed that the members of this epoch are switched off.
    bool isReset = false;

    friend bool operator==(const roster_state &, const roster_state &) = default;
};

/// A claim that was won, and its outcome if known.
struct claim_state
{
    claim winner;
    /// Highest time of the records that have won this claim; the claim is kept until the idempotency window after it has passed.
    record_time at {};
    std::optional<claim_outcome> ended;
    /// Requests that have released the claim. A late copy of their claim records must not win it again, because no outcome would follow.
    std::vector<request_id> released;

    friend bool operator==(const claim_state &, const claim_state &) = default;
};

/// The complete state after replay of the log up to and including the covered offset. Also sent by peers to a starting instance.
struct snapshot
{
    /// -1 when nothing has been replayed.
    log_offset covered {-1};
    /// Highest record time so far.
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
