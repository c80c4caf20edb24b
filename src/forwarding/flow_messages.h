#pragma once

#include "forwarding/endpoint_table.h"
#include "forwarding/traffic_plan.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace burdockshelf
{

/// Number of a caller's request on this instance.
using flow_id = quantity<struct flow_tag>;
/// Number of an attempt of one request, from 1.
using attempt_number = quantity<struct attempt_number_tag>;

/// Facts of a request that decisions need, read once from its head.
struct forward_facts
{
    /// The caller's id of this try; a caller that tries again uses a new one.
    attempt_id id;
    std::string method;
    std::string host;
    std::string path;
    /// The key as presented, empty without one. Never logged.
    std::string key;
    /// Until when the caller waits; never when it did not say.
    deadline callerDeadline = deadline::never();
    /// Not set for requests that are not for a language model.
    std::optional<token_count> promptTokens;
    token_count outputTokenLimit;
    /// The caller's estimate of the output, often far off.
    std::optional<token_count> expectedOutputTokens;
    /// The caller resumes a stream behind this event.
    std::optional<std::int64_t> resumeAfter;
};

/// Where the result of reading a prompt lies until a decode endpoint fetches it.
struct prompt_handle
{
    endpoint_id endpoint;
    socket_address address;
    std::string handle;
};

/// Room that an endpoint has set aside for a request.
struct capacity_reservation
{
    endpoint_id endpoint;
    socket_address address;
    std::string reservation;
};

/// Why a request ends without an endpoint's answer.
enum class refusal_cause
{
    not_ready,
    unknown_route,
    unknown_key,
    over_quota,
    no_endpoint,
    /// Endpoints have refused it, or are full.
    overloaded,
    /// The caller's time is over before anything was sent.
    expired,
    /// The time is over and an endpoint may have run it.
    timed_out,
    /// An endpoint may have run it and gave no usable answer.
    endpoint_failed,
    shutting_down,
};

std::string_view refusalCauseName(refusal_cause cause);

/// How an attempt ended.
enum class attempt_outcome
{
    /// A whole answer, or the clean end of a stream.
    whole,
    /// The endpoint says that it did not run the request.
    rejected,
    /// Another endpoint has the address; not run.
    misdirected,
    /// No connection could be made; no byte was sent.
    not_sent,
    /// Sent, and the answer is missing, cut or not usable.
    lost,
};

std::string_view attemptOutcomeName(attempt_outcome end);

/// Statuses from here on are failures of the endpoint's own.
constexpr int firstServerErrorStatus = 500;

/// The head of an answer as far as decisions need it.
struct response_summary
{
    int status = 0;
    /// The endpoint's proof that the answer is its own.
    bool hasServerSeal = false;
};

// Actions of a flow.

struct start_attempt
{
    attempt_number number;
    attempt_kind attemptKind = attempt_kind::plain_call;
    endpoint_id endpoint;
    socket_address address;
    service_id service;
    std::optional<prompt_handle> source;
    std::optional<capacity_reservation> capacityReservation;
    /// An endpoint that has read the prompt and may still keep it.
    std::optional<socket_address> fetchFrom;
    /// Room that the request needs, for reservations.
    token_count tokens;
    std::optional<std::int64_t> resumeAfter;
    deadline until;
    /// The answer is handed on in pieces as it comes.
    bool isStreamed = false;
};

struct cancel_flow_attempt
{
    attempt_number number;
};

struct release_handle
{
    prompt_handle handle;
};

struct release_reservation
{
    capacity_reservation capacityReservation;
};

/// A round of asking for room has ended without any. The request asks again, goes on without room, or is refused.
struct report_failed_reservations
{
    std::int64_t round = 0;
    token_count tokens;
    std::vector<endpoint_id> asked;
    /// Until when room is looked for.
    deadline until;
};

/// Hands on the head of an attempt's answer; pieces follow.
struct relay_response_head
{
    attempt_number number;
};

struct relay_body_data
{
    std::string bytes;
};

struct relay_response_end
{
};

/// Hands on the whole answer of an attempt.
struct relay_full_response
{
    attempt_number number;
};

struct refuse_request
{
    refusal_cause cause = refusal_cause::not_ready;
    /// When a further try makes sense; not set where none does.
    std::optional<std::chrono::milliseconds> retryAfter;
    /// No endpoint has run any part of the request.
    bool isNotExecuted = false;
};

/// Ends an answer that has begun so that the caller sees that it is cut.
struct abort_response
{
};

using flow_action = std::variant<start_attempt,
                                 cancel_flow_attempt,
                                 release_handle,
                                 release_reservation,
                                 report_failed_reservations,
                                 relay_response_head,
                                 relay_body_data,
                                 relay_response_end,
                                 relay_full_response,
                                 refuse_request,
                                 abort_response>;
using flow_actions = std::vector<flow_action>;

} // namespace burdockshelf
