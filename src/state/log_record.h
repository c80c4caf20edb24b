#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "state/configuration.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace burdockshelf
{

/// Milliseconds since the Unix epoch by the writer's clock. Replay compares record times only with each other, never with a clock, so that
/// every reader reaches the same state.
using record_time = std::chrono::milliseconds;

/// A change of the configuration. Entries without a value are removed. Accepted only when the base is the version in force.
struct configuration_change
{
    configuration_version base;
    std::map<data_centre_id, std::optional<data_centre_settings>> dataCentres;
    std::map<workspace_id, std::optional<workspace_settings>> workspaces;
    std::map<service_id, std::optional<service_settings>> services;
    std::map<endpoint_id, std::optional<endpoint_settings>> endpoints;
    std::map<urgency_class_id, std::optional<urgency_class_settings>> urgencyClasses;
    record_time at {};

    friend bool operator==(const configuration_change &, const configuration_change &) = default;
};

/// Grants an API key. The digest is the SHA-256 of salt and secret, in hexadecimal.
struct key_grant
{
    key_id key;
    workspace_id workspace;
    std::string salt;
    std::string digest;

    friend bool operator==(const key_grant &, const key_grant &) = default;
};

/// Withdraws an API key permanently; a later grant of the same id has no effect.
struct key_withdrawal
{
    key_id key;

    friend bool operator==(const key_withdrawal &, const key_withdrawal &) = default;
};

/// What can be drained, that is, taken out of service.
using drain_target = std::variant<data_centre_id, instance_id, endpoint_id>;

/// Drains a target or returns it to service. Accepted only when the sequence is the target's current one, which then grows by one.
struct drain_change
{
    drain_target target;
    std::int64_t sequence = 0;
    bool isDrained = true;

    friend bool operator==(const drain_change &, const drain_change &) = default;
};

/// A member of a data centre's roster.
struct roster_member
{
    instance_id instance;
    incarnation_id incarnation;

    friend auto operator<=>(const roster_member &, const roster_member &) = default;
};

/// Sets the members of a data centre from an epoch on. Accepted only when the epoch is the current one plus one.
struct roster_change
{
    data_centre_id dataCentre;
    roster_epoch epoch;
    std::vector<roster_member> members;
    /// Set when the only change is that the proposer leaves, after it has stopped making decisions and its loans have ended. Its successors
    /// then need not wait until its lease expires.
    std::optional<roster_member> leaver;

    friend bool operator==(const roster_change &, const roster_change &) = default;
};

/// Announces that a roster whose members are unreachable will be replaced.
struct roster_takeover
{
    data_centre_id dataCentre;
    roster_epoch epoch;
    roster_member proposer;

    friend bool operator==(const roster_takeover &, const roster_takeover &) = default;
};

/// An operator's confirmation that the members of the current epoch are switched off.
struct roster_reset
{
    data_centre_id dataCentre;
    roster_epoch epoch;

    friend bool operator==(const roster_reset &, const roster_reset &) = default;
};

/// Identifies a claim: a caller's idempotency key within its workspace.
struct claim_id
{
    workspace_id workspace;
    idempotency_key key;

    friend auto operator<=>(const claim_id &, const claim_id &) = default;
};

/// Claims an idempotency key for a request.
struct claim
{
    claim_id id;
    request_id request;
    incarnation_id claimant;
    /// SHA-256 of the request's method, path and body.
    std::string fingerprint;

    friend bool operator==(const claim &, const claim &) = default;
};

/// Claims that one instance writes in a single record.
struct claim_batch
{
    record_time at {};
    std::vector<claim> claims;

    friend bool operator==(const claim_batch &, const claim_batch &) = default;
};

/// Outcome of the request that holds a claim.
struct claim_outcome
{
    claim_id id;
    request_id request;
    /// True when the request was never dispatched; the key may then be claimed again.
    bool isReleased = false;
    /// HTTP status of the response; 0 when the request may have been executed and its response is lost.
    int status = 0;
    std::string contentType;
    std::string body;

    friend bool operator==(const claim_outcome &, const claim_outcome &) = default;
};

struct outcome_batch
{
    record_time at {};
    std::vector<claim_outcome> outcomes;

    friend bool operator==(const outcome_batch &, const outcome_batch &) = default;
};

/// A record of a kind or version that this build does not support. Skipped and counted.
struct unknown_record
{
    std::string kind;
    /// The body as stored in the log, so that the record can be relayed unchanged to an instance whose build supports it.
    std::string body;

    friend bool operator==(const unknown_record &, const unknown_record &) = default;
};

} // namespace burdockshelf
