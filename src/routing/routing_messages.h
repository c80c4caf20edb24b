#pragma once

#include "callers/caller_messages.h"
#include "core/deadline.h"
#include "endpoints/endpoint_messages.h"
#include "log_service/log_service_messages.h"
#include "mesh/mesh_messages.h"
#include "policy/claim_ledger.h"
#include "policy/decision_authority.h"
#include "runtime/sink.h"
#include "state/state_view.h"

#include <memory>
#include <optional>
#include <variant>
#include <vector>

namespace burdockshelf
{

/// The state view has changed.
struct view_changed
{
    state_view_ptr view;
};

/// Replay has advanced to this offset, with or without a change of the state view.
struct replay_advanced
{
    log_offset covered;
};

/// The decision authority of this member has changed or was extended.
struct authority_changed
{
    std::shared_ptr<const decision_authority> authority;
};

/// Claims that have changed in the log or have expired.
struct claims_changed
{
    /// Current states of the changed claims, with their outcomes.
    std::vector<claim_state> states;
    std::vector<claim_id> expired;
};

/// Asks configuration_task to publish the state view and all claims again, for receivers that were restarted.
struct republish_request
{
};

/// Asks roster_task to leave the roster, at shutdown.
struct leave_roster
{
};

/// Asks quota_task to charge a request to its workspace.
struct charge_request
{
    request_id request;
    workspace_id workspace;
    token_count amount;
    /// Deadline for the response; loans are requested until then.
    deadline until;
    sink<struct charge_response> reply;
};

struct charge_response
{
    request_id request;
    bool isGranted = false;
    /// Time until the workspace's rate allows the amount; empty when it never will.
    std::optional<std::chrono::milliseconds> retryAfter;
};

/// Settles a granted charge with the actual cost of the request.
struct charge_settlement
{
    request_id request;
    token_count actual;
};

/// Asks slot_task for a slot of an endpoint, whichever member owns the endpoint.
struct slot_request
{
    request_id request;
    endpoint_id endpoint;
    deadline until;
    sink<struct slot_decision> reply;
};

struct slot_decision
{
    request_id request;
    endpoint_id endpoint;
    bool isGranted = false;
    /// Load as known to the endpoint's owner; the limit is that of slow start.
    slot_count used;
    slot_count limit;
};

struct slot_release
{
    request_id request;
    endpoint_id endpoint;
    attempt_verdict verdict = attempt_verdict::succeeded;
};

/// Asks claim_task for the right to dispatch a non-idempotent call.
struct claim_request
{
    claim requestedClaim;
    deadline until;
    sink<struct claim_decision> reply;
};

/// The response to a claim_request.
struct claim_decision
{
    request_id request;
    claim_id id;
    claim_result result = claim_result::unavailable;
    std::optional<claim_outcome> earlierOutcome;
};

/// Records the outcome of a claimed call, or releases the claim of a call that was never dispatched.
struct claim_end
{
    claim_outcome claimOutcome;
};

using quota_task_message =
    std::variant<view_changed, authority_changed, charge_request, charge_settlement, peer_message_received, peer_response, peer_status>;
using slot_task_message = std::variant<view_changed,
                                       authority_changed,
                                       slot_request,
                                       slot_release,
                                       load_report,
                                       endpoint_unreachable,
                                       peer_message_received,
                                       peer_response,
                                       peer_status>;
using claim_task_message = std::variant<view_changed, authority_changed, claims_changed, claim_request, claim_end, append_result>;
using configuration_task_message =
    std::variant<log_batch, log_unreachable, peer_message_received, peer_response, peer_status, append_result, republish_request>;
using roster_task_message = std::variant<view_changed,
                                         log_batch,
                                         log_unreachable,
                                         instance_list,
                                         append_result,
                                         peer_message_received,
                                         peer_response,
                                         peer_status,
                                         leave_roster,
                                         replay_advanced>;
using router_task_message = std::variant<view_changed,
                                         caller_request,
                                         caller_disconnected,
                                         charge_response,
                                         slot_decision,
                                         claim_decision,
                                         prefill_done,
                                         decode_event,
                                         decode_done,
                                         plain_done,
                                         attempt_failed>;

} // namespace burdockshelf
