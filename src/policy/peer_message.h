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

/// Asks a peer how recent its view of the log is, to extend authority by a relayed read or by a pledge.
struct peer_freshness_request
{
    roster_epoch epoch;
};

struct peer_freshness_response
{
    roster_epoch epoch;
    log_offset covered;
    /// Age of the peer's last successful read of the log, measured from when the read was sent.
    std::chrono::milliseconds age {};
    /// True if the peer cannot read the log and promises not to propose a roster change for the pledged time.
    bool isPledge = false;
    std::chrono::milliseconds pledged {};
};

/// Requests a loan of quota tokens from the home of a workspace (the member that holds its quota) here or in another data centre, or from
/// another member of this data centre.
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
    /// Number that the lender has given to the loan.
    std::uint64_t loan = 0;
    /// How long the tokens can be used, measured by the borrower from its request. A loan never outlasts the lender's authority.
    std::chrono::milliseconds validFor {};
};

/// Refunds tokens of a loan that were not used, or whose request cost less than it was charged. The sequence numbers the refunds of a loan
/// from 0, so that a duplicate refunds nothing.
struct loan_refund
{
    workspace_id workspace;
    token_count amount;
    std::uint64_t loan = 0;
    std::uint64_t sequence = 0;
};

/// Requests a slot from the owner of an endpoint.
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
    /// Load as known to the owner; the limit is that of slow start.
    slot_count used;
    slot_count limit;
};

enum class attempt_verdict
{
    succeeded,
    failed,
    slow,
    /// Counts neither for nor against the endpoint.
    cancelled,
};

/// Releases a slot and reports how the attempt counts for or against the endpoint.
struct peer_slot_release
{
    endpoint_id endpoint;
    request_id request;
    attempt_verdict verdict = attempt_verdict::succeeded;
};

/// The slots that a member holds. Sent to the owner of the endpoints at intervals, so that a new owner can rebuild its state.
struct slot_holdings
{
    roster_epoch epoch;
    std::vector<std::pair<endpoint_id, request_id>> held;
};

/// Log records that the sender has read and the receiver may not have.
struct record_relay
{
    std::vector<stored_record> records;
};

/// Requests the log records that the sender lacks while it cannot read the log. The response is the records after the covered offset
/// (record_relay), the whole state if the peer no longer has these records (peer_state_response), or a refusal if the peer has nothing
/// newer. For some seconds afterwards the peer relays new records to the sender.
struct peer_state_request
{
    /// Offset of the last record that the sender has applied, -1 for none.
    log_offset covered {-1};
};

struct peer_state_response
{
    snapshot state;
};

/// Requests the tokens that a call costs from the holder of the workspace's part of the quota pool. The cost is in the unit of the
/// workspace's quota.
struct peer_pool_request
{
    workspace_id workspace;
    token_count cost;
    /// Unused tokens of the sender's lease that it gives back. Older builds omit this and the next two.
    token_count returned;
    /// Tokens of leases that the sender has used since its previous request to the receiver.
    token_count spent;
    /// Rate in tokens per second of a lease from the previous holder that the sender has given up.
    token_count givenUpRate;
};

/// A part of the pool's rate for the receiver alone, until it ends.
struct peer_pool_lease
{
    /// Per second.
    token_count rate;
    token_count burst;
    /// Measured by the receiver from its request.
    std::chrono::milliseconds validFor {};
    /// The limits of the workspace in the sender's configuration; the receiver may have a newer one with lower limits.
    token_count workspaceRate;
    token_count workspaceBurst;
};

struct peer_pool_response
{
    /// False if the receiver does not hold the part, or no longer holds it.
    bool isHolder = false;
    bool isGranted = false;
    /// How long to wait before a retry.
    std::chrono::milliseconds retryAfter {};
    /// True while a new holder keeps a part of the rate back for leases of the previous one.
    bool isFirstPeriod = false;
    std::optional<peer_pool_lease> lease = std::nullopt;
};

/// Refunds to the pool the tokens that a request has taken and not used.
struct peer_pool_refund
{
    workspace_id workspace;
    token_count cost;
};

/// Number of a topic of the platform's store.
using relayed_topic = quantity<struct relayed_topic_tag>;

/// Counts the restores of the platform's store from an older copy.
using relayed_era = quantity<struct relayed_era_tag>;

/// Requests the records of a topic from an offset on, from an instance that reads the topic at the store. The response is sent once there
/// are such records, or after the wait.
struct peer_records_request
{
    relayed_topic topic;
    log_offset from;
    std::chrono::milliseconds wait {};
    /// The latest era that the sender knows, to which the offset belongs. Unset if it knows none; older builds omit it.
    std::optional<relayed_era> era;
};

/// A record of a compacted topic, in which only the newest record of each key counts. No value means that the key was deleted.
struct relayed_record
{
    std::string key;
    std::optional<std::string> value;
};

struct peer_records_response
{
    /// False if the receiver does not itself read the topic at the store.
    bool isReader = false;
    /// True if the records at the offset are no longer available. The newest records must then be read at the store.
    bool isTruncated = false;
    /// Consecutive records, starting at the requested offset.
    std::vector<relayed_record> records;
    log_offset end;
    /// How often the reader has found a change at the store that was not announced by a record.
    std::int64_t resyncCount = 0;
    /// Time since the reader last found such a change, or since it began to read the topic.
    std::chrono::milliseconds sinceResync {};
    /// Time since the store last answered the reader.
    std::chrono::milliseconds age {};
    /// The latest era that the reader knows, to which the records belong. Unset if it knows none; older builds omit it.
    std::optional<relayed_era> era;
};

/// Tells the receiver of the endpoint crashes that the sender has seen, in the encoding in which the sender publishes them in the
/// platform's store. Sent directly as well, because the store may be unavailable.
struct peer_crash_report
{
    std::string report;
};

/// Asks the receiver to find out at the platform's store which software version began a stream, because the store does not respond to the
/// sender. The services are those at which the stream may have begun.
struct peer_stream_lookup
{
    attempt_id stream;
    std::vector<service_id> services;
};

/// Without a version, the origin of the stream is not known; that is certain only if the store has answered.
struct peer_stream_origin
{
    service_id service;
    service_version version;
    bool isCertain = false;
};

/// The open streams of the sender, in the encoding in which it records them in the platform's store. The receiver records them there,
/// because the store does not respond to the sender.
struct peer_open_streams
{
    std::string record;
};

/// A response without content, or the refusal of a message.
struct acknowledgement
{
    bool isAccepted = true;
};

/// The messages between instances. Each message is answered by exactly one peer_message.
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
                                  peer_crash_report,
                                  peer_stream_lookup,
                                  peer_stream_origin,
                                  peer_open_streams,
                                  acknowledgement>;

} // namespace burdockshelf
