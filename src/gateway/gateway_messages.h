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
    bool hasCallerLeft = false;
};

struct caller_left
{
    flow_id flow;
};

// From the dispatcher to the callers' side.

struct answer_whole
{
    flow_id flow;
    http_response response;
};

struct answer_head
{
    flow_id flow;
    http_response head;
};

struct answer_piece
{
    flow_id flow;
    std::string bytes;
};

struct answer_end
{
    flow_id flow;
};

/// The answer ends so that the caller sees that it is cut.
struct answer_broken
{
    flow_id flow;
};

struct limits_changed
{
    caller_limits limits;
};

using front_message = std::variant<answer_whole, answer_head, answer_piece, answer_end, answer_broken, limits_changed>;

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
    bool isRepeatable = false;
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

struct attempt_head
{
    flow_id flow;
    attempt_number number;
    http_response head;
    answer_facts facts;
};

struct attempt_piece
{
    flow_id flow;
    attempt_number number;
    std::string bytes;
};

struct attempt_ended
{
    flow_id flow;
    attempt_number number;
    attempt_end end = attempt_end::lost;
    /// The answer, for whole answers that were not handed on in pieces.
    http_response response;
    answer_facts facts;
    /// What is known of the cause, for the log.
    std::string detail;
};

// From the store's side to the dispatcher.

/// All newest records of a topic, in place of what was known.
struct topic_reset
{
    store_topic topic = store_topic::operators;
    std::vector<store_record> records;
    /// How long the store had said nothing of the topic before.
    std::chrono::milliseconds silence {};
};

struct topic_changed
{
    store_topic topic = store_topic::operators;
    std::vector<store_record> records;
    /// How long the store had said nothing of the topic before.
    std::chrono::milliseconds silence {};
};

struct store_reachability
{
    bool isReachable = false;
};

struct shutdown_begun
{
};

using dispatch_message = std::variant<request_arrived,
                                      caller_left,
                                      attempt_head,
                                      attempt_piece,
                                      attempt_ended,
                                      topic_reset,
                                      topic_changed,
                                      store_reachability,
                                      quota_answered,
                                      shutdown_begun>;

// To the store's side.

/// What this instance says of itself to the others, written again and again.
struct member_state
{
    std::string value;
};

/// Instances have come or gone; their reports are to be read again.
struct members_changed
{
};

using store_message = std::variant<member_state, members_changed, instance_count_changed, holders_listed, peer_received, peer_answer>;

} // namespace burdockshelf
