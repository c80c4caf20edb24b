#pragma once

#include "forwarding/flow_messages.h"
#include "gateway/dialects.h"
#include "gateway/quota_broker_messages.h"
#include "http/http_message.h"

#include <map>
#include <variant>

namespace burdockshelf
{

// From the callers' side to the dispatcher.

struct request_arrived
{
    flow_id flow;
    http_request request;
    instant arrived;
    /// The caller had closed its connection before the request was read; nobody waits for an answer.
    bool hasCallerDisconnected = false;
};

struct flow_caller_disconnected
{
    flow_id flow;
};

// From the dispatcher to the callers' side.

struct caller_full_response
{
    flow_id flow;
    http_response response;
};

struct caller_response_head
{
    flow_id flow;
    http_response head;
};

struct caller_body_data
{
    flow_id flow;
    std::string bytes;
};

struct caller_response_end
{
    flow_id flow;
};

/// The answer ends so that the caller sees that it is cut.
struct caller_response_abort
{
    flow_id flow;
};

struct limits_changed
{
    caller_limits limits;
};

using front_message =
    std::variant<caller_full_response, caller_response_head, caller_body_data, caller_response_end, caller_response_abort, limits_changed>;

// From the dispatcher to the endpoints' side.

struct open_attempt
{
    flow_id flow;
    attempt_number number;
    socket_address address;
    http_request request;
    /// Answers with another id belong to other requests.
    attempt_id expected;
    bool isStreamed = false;
    /// A success without the endpoint's proof is no answer.
    bool needsProof = true;
    /// The call may be repeated, so a connection that may just be closing is good enough.
    bool isRetryable = false;
};

struct close_attempt
{
    flow_id flow;
    attempt_number number;
};

/// A call whose answer nobody waits for.
struct call_and_forget
{
    socket_address address;
    http_request request;
};

struct connection_bounds
{
    /// Most connections to each endpoint from this instance.
    std::size_t perEndpoint = 0;
};

using endpoint_link_message = std::variant<open_attempt, close_attempt, call_and_forget, connection_bounds>;

// From the endpoints' side to the dispatcher.

struct attempt_response_head
{
    flow_id flow;
    attempt_number number;
    http_response head;
    response_facts facts;
};

struct attempt_body_data
{
    flow_id flow;
    attempt_number number;
    std::string bytes;
};

struct attempt_ended
{
    flow_id flow;
    attempt_number number;
    attempt_outcome end = attempt_outcome::lost;
    /// The answer, for whole answers that were not handed on in pieces.
    http_response response;
    response_facts facts;
    /// What is known of the cause, for the log.
    std::string detail;
};

// From the store's side to the dispatcher.

/// All newest records of a topic, in place of what was known.
struct topic_snapshot
{
    store_topic topic = store_topic::operators;
    std::vector<store_record> records;
    /// How long the store had said nothing of the topic before.
    std::chrono::milliseconds storeSilence {};
};

struct topic_update
{
    store_topic topic = store_topic::operators;
    std::vector<store_record> records;
    /// How long the store had said nothing of the topic before.
    std::chrono::milliseconds storeSilence {};
};

struct store_reachability
{
    bool isReachable = false;
};

struct shutdown_begun
{
};

using dispatch_message = std::variant<request_arrived,
                                      flow_caller_disconnected,
                                      attempt_response_head,
                                      attempt_body_data,
                                      attempt_ended,
                                      topic_snapshot,
                                      topic_update,
                                      store_reachability,
                                      quota_response,
                                      shutdown_begun>;

// To the store's side.

/// What this instance says of itself to the others, written again and again.
struct publish_member_report
{
    std::string value;
};

/// Instances have come or gone; their reports are to be read again.
struct members_changed
{
};

using store_message =
    std::variant<publish_member_report, members_changed, instance_count_changed, holders_listed, peer_message_received, peer_response>;

} // namespace burdockshelf
