#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "state/stored_record.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace burdockshelf
{

/// Asks a peer how fresh its view of the log is, for authority by relay or pledge.
struct peer_freshness_request
{
    roster_epoch epoch;
};

struct peer_freshness_response
{
    roster_epoch epoch;
    log_offset covered;
    /// Age of the peer's last successful read, counted from its sending.
    std::chrono::milliseconds age {};
    /// True when the peer cannot reach the log and promises to propose no roster change for the pledged time.
    bool isPledge = false;
    std::chrono::milliseconds pledged {};
};

/// Asks the home of a workspace, or the home in another data centre, for tokens.
struct peer_loan_request
{
    data_centre_id dataCentre;
    roster_epoch epoch;
    workspace_id workspace;
    token_count amount;
};

struct peer_loan_response
{
    roster_epoch epoch;
    token_count amount;
    /// The lender's number of the loan.
    std::uint64_t loan = 0;
    /// How long the tokens can be used, counted by the borrower from its ask. A loan never outlasts the lender's authority.
    std::chrono::milliseconds validFor {};
};

/// Gives back tokens of a loan that were not used or whose request cost less. The sequence counts the refunds of a loan from 0, so that a
/// second copy gives nothing back.
struct loan_refund
{
    workspace_id workspace;
    token_count amount;
    std::uint64_t loan = 0;
    std::uint64_t sequence = 0;
};

/// Asks the owner of an endpoint for a slot.
struct peer_slot_request
{
    roster_epoch epoch;
    endpoint_id endpoint;
    request_id request;
};

struct peer_slot_response
{
    roster_epoch epoch;
    bool isGranted = false;
    /// Load as the owner knows it; the limit is that of slow start.
    slot_count used;
    slot_count limit;
};

enum class attempt_verdict
{
    succeeded,
    failed,
    slow,
    /// Not to be counted for or against the endpoint.
    cancelled,
};

/// Gives a slot back, with what the attempt tells of the endpoint.
struct peer_slot_release
{
    endpoint_id endpoint;
    request_id request;
    attempt_verdict verdict = attempt_verdict::succeeded;
};

/// The slots that a member holds, told to an endpoint's owner again and again so that a new owner can rebuild its state.
struct slot_holdings
{
    roster_epoch epoch;
    std::vector<std::pair<endpoint_id, request_id>> held;
};

/// Log records that the sender has read and the receiver may lack.
struct record_relay
{
    std::vector<stored_record> records;
};

/// Asks for what the sender lacks while it cannot read the log. Answered with the records behind the covered offset (record_relay), with
/// the whole state when the peer no longer has them (peer_state_response), or refused when the peer has nothing newer. For some seconds the
/// peer then relays new records to the sender.
struct peer_state_request
{
    /// Offset that the sender has reached, -1 for nothing.
    log_offset covered {-1};
};

struct peer_state_response
{
    snapshot state;
};

/// Asks the holder of a workspace's part of the quotas' pool for what a request costs, in the unit of the workspace's quota.
struct peer_pool_request
{
    workspace_id workspace;
    token_count cost;
};

struct peer_pool_response
{
    /// False when the part is not, or no longer, held by the one who was asked.
    bool isHolder = false;
    bool isGranted = false;
    /// When a further try makes sense.
    std::chrono::milliseconds retryAfter {};
};

/// Gives back to the pool what a request has taken and not used.
struct peer_pool_refund
{
    workspace_id workspace;
    token_count cost;
};

/// A topic of the platform's store, by its number.
using relayed_topic = quantity<struct relayed_topic_tag>;

/// Asks an instance that reads a topic at the store for the records behind an offset; it answers once there are some, or after the wait.
struct peer_records_request
{
    relayed_topic topic;
    log_offset from;
    std::chrono::milliseconds wait {};
};

/// A record of a topic in which the newest of each key counts; no value when the key was dropped.
struct relayed_record
{
    std::string key;
    std::optional<std::string> value;
};

struct peer_records_response
{
    /// False when the one who was asked does not read the topic at the store itself.
    bool isReader = false;
    /// The records behind the offset are no longer there; the newest have to be read at the store.
    bool isTruncated = false;
    /// The records stand one behind the other from the offset of the ask on.
    std::vector<relayed_record> records;
    log_offset end;
    /// How often the reader has found a change at the store that no record told of.
    std::int64_t resyncCount = 0;
    /// Since the store has last answered the reader.
    std::chrono::milliseconds age {};
};

/// An answer without content, or the refusal of a message.
struct acknowledgement
{
    bool isAccepted = true;
};

/// What instances say to each other. Each message is answered by exactly one peer_message.
using peer_message = std::variant<peer_freshness_request,
                                  peer_freshness_response,
                                  peer_loan_request,
                                  peer_loan_response,
                                  loan_refund,
                                  peer_slot_request,
                                  peer_slot_response,
                                  peer_slot_release,
                                  slot_holdings,
                                  record_relay,
                                  peer_state_request,
                                  peer_state_response,
                                  peer_pool_request,
                                  peer_pool_response,
                                  peer_pool_refund,
                                  peer_records_request,
                                  peer_records_response,
                                  acknowledgement>;

} // namespace burdockshelf
