#pragma once

#include "core/deadline.h"
#include "core/ids.h"
#include "core/quantity.h"
#include "core/units.h"
#include "forwarding/attempt_kind.h"
#include "forwarding/traffic_plan.h"

#include <array>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace burdockshelf
{

/// Bounds on rollouts, from the deployment.
struct rollout_settings
{
    /// Largest part of a service's requests that an untrusted version may get.
    double share = 0.0;
    /// Time without a response of the store after which this instance is out of contact.
    std::chrono::milliseconds silence {3000};
    /// How long the order for a version may still be on its way when the first endpoint of that version is already registered.
    std::chrono::milliseconds configurationDelay {2000};
};

/// Position of an order's record in its topic. A later order for the same service has a larger one.
using rollout_number = quantity<struct rollout_number_tag>;

/// The operator asks for the traffic of a service to move to another version.
struct rollout_order
{
    service_id service;
    service_version target;
    /// Time from the writing of the order to its deadline.
    std::chrono::milliseconds allowed {};
};

enum class rollout_state
{
    /// The target gets a bounded part of the requests, and evidence is collected.
    collecting,
    /// New requests go to the target; those in progress at the old endpoints are completed.
    promoting,
    completed,
    rolled_back,
};

std::string_view rolloutStateName(rollout_state state);

inline bool isTerminal(rollout_state state)
{
    return state == rollout_state::completed || state == rollout_state::rolled_back;
}

/// What the holder has decided about an order, as shared with all instances.
struct rollout_decision
{
    service_id service;
    service_version target;
    rollout_number order;
    rollout_state state = rollout_state::collecting;
    /// The versions that were trusted when the order was read.
    std::vector<service_version> trusted;
    /// Targets of earlier orders that were rolled back.
    std::vector<service_version> rejected;
    /// Fencing token of the holder that has decided.
    fencing_token generation;
    deadline completeBy = deadline::never();
    /// The operator has been told of a terminal state.
    bool isStatusWritten = false;

    friend bool operator==(const rollout_decision &, const rollout_decision &) = default;
};

/// The versions that a request may use while an order is in force.
enum class rollout_side
{
    trusted,
    candidate,
};

/// Responses are compared only within the same route, kind of attempt and data centre.
struct evidence_key
{
    route_id route;
    attempt_kind attemptKind = attempt_kind::plain_call;
    data_centre_id dataCentre;

    friend auto operator<=>(const evidence_key &, const evidence_key &) = default;
};

constexpr std::size_t latencyBucketCount = 18;
constexpr std::size_t rolloutSideCount = 2;

/// Responses of one version. The latencies count the successful responses; each bucket is twice as wide as the one before, from 1 ms.
struct evidence_counts
{
    std::int64_t responses = 0;
    std::int64_t failures = 0;
    std::array<std::int64_t, latencyBucketCount> latencies {};

    friend bool operator==(const evidence_counts &, const evidence_counts &) = default;
};

/// Counts by rollout_side.
using evidence_pair = std::array<evidence_counts, rolloutSideCount>;
using rollout_evidence = std::map<evidence_key, evidence_pair>;

/// What an instance tells the others about one order.
struct rollout_report
{
    service_id service;
    rollout_number order;
    /// The state that the instance applies.
    rollout_state state = rollout_state::collecting;
    /// Attempts in progress at endpoints that the order replaces; counted while promoting.
    std::int64_t inProgressAtOld = 0;
    rollout_evidence evidence;

    friend bool operator==(const rollout_report &, const rollout_report &) = default;
};

} // namespace burdockshelf
