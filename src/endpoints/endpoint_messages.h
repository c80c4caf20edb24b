#pragma once

#include "core/deadline.h"
#include "core/ids.h"
#include "core/outcome.h"
#include "core/units.h"
#include "http/http_message.h"
#include "runtime/sink.h"
#include "state/state_view.h"

#include <optional>
#include <string>
#include <variant>

namespace burdockshelf
{

/// A caller's request to a language model, as forwarded by the router. The body is the caller's JSON, already validated.
struct model_request
{
    service_id service;
    bool isChat = false;
    bool isStream = false;
    token_count maxTokens;
    byte_count promptBytes;
    std::string body;
    /// True when a streaming caller has requested a final event with the token usage.
    bool wantsUsage = false;
    /// Hash of the beginning of the prompt; requests with the same hash can use the same cached prefix.
    std::uint64_t prefixHash = 0;
};

/// The kv_transfer_params that a prefill returned; opaque to the router.
struct kv_handle
{
    std::string parameters;
};

/// Tokens that the engine counted for a request.
struct token_usage
{
    token_count prompt;
    token_count completion;
};

/// Requests a prefill whose KV cache a decode endpoint will import.
struct prefill_call
{
    attempt_id attempt;
    request_id request;
    model_request model;
    int priority = 0;
    deadline until;
    /// Text that earlier attempts have generated; appended to the prompt of this one.
    std::string generated;
};

/// Requests the generation of the output.
struct decode_call
{
    attempt_id attempt;
    request_id request;
    model_request model;
    kv_handle kv;
    int priority = 0;
    /// Text that earlier attempts have generated; the engine continues after it.
    std::string generated;
    /// Deadline of the first event; every event extends it to interEventTimeout from then.
    deadline until;
    boot_clock::duration interEventTimeout {};
};

/// Resumes an interrupted stream from an event position.
struct resume_call
{
    attempt_id attempt;
    request_id request;
    std::int64_t from = 0;
    /// Finish reason of an event before this position, empty when there was none.
    std::string finishReason;
    deadline until;
    boot_clock::duration interEventTimeout {};
};

/// Forwards a request to a plain service.
struct plain_call
{
    attempt_id attempt;
    http_request request;
    deadline until;
};

/// Cancels an attempt: closes its connection and, for a model, has the engine abort the request.
struct cancel_attempt
{
    attempt_id attempt;
};

/// Aborts a request of an instance that is no longer running.
struct abort_request
{
    request_id request;
};

/// Frees the KV cache of a prefill that no decode will import.
struct release_kv
{
    request_id request;
    kv_handle kv;
};

/// Orders an endpoint to load a model or change its role.
struct endpoint_order
{
    std::string kind;
    std::string model;
    fencing_token fencing;
    sink<outcome<void>> reply;
};

struct prefill_done
{
    attempt_id attempt;
    kv_handle kv;
    token_usage usage;
};

/// One event of a decode stream.
struct decode_event
{
    attempt_id attempt;
    /// Position in the events of the request at this engine, from 0.
    std::int64_t position = 0;
    /// Generated text in this event, for continuing at another engine.
    std::string text;
    /// JSON of the event, to be forwarded to the caller.
    std::string data;
    /// Empty except in the last event with text.
    std::string finishReason;
    /// Usage reported with this event. The engine is always asked to report it, even if it is not forwarded to the caller.
    std::optional<token_usage> usage;
    /// True for an event without text that only reports usage.
    bool isUsageOnly = false;
};

struct decode_done
{
    attempt_id attempt;
    token_usage usage;
    std::string finishReason;
    /// False when the engine reported no usage in this attempt.
    bool isUsageKnown = false;
};

struct plain_done
{
    attempt_id attempt;
    http_response response;
};

/// An attempt ended without a complete response.
struct attempt_failed
{
    attempt_id attempt;
    error cause;
    /// True when no byte of the request can have reached the endpoint.
    bool isNotSent = false;
};

using attempt_event = std::variant<prefill_done, decode_event, decode_done, plain_done, attempt_failed>;

/// Load as reported by an endpoint; outdated by the time it arrives.
struct load_report
{
    endpoint_id endpoint;
    incarnation_id incarnation;
    slot_count used;
    slot_count total;
};

/// The endpoint did not answer a load query.
struct endpoint_unreachable
{
    endpoint_id endpoint;
    error cause;
};

/// Queries the endpoint's load once. Only the instance that owns the endpoint sends queries.
struct load_query
{
};

using endpoint_task_message =
    std::variant<prefill_call, decode_call, resume_call, plain_call, cancel_attempt, abort_request, release_kv, endpoint_order, load_query>;

/// A message for the task of one endpoint. An attempt whose message cannot be delivered ends with attempt_failed and isNotSent set.
struct endpoint_envelope
{
    endpoint_id to;
    endpoint_task_message message;
};

/// The configured endpoints have changed; endpoints_supervisor starts and stops endpoint tasks accordingly.
struct endpoints_changed
{
    state_view_ptr view;
};

using endpoints_message = std::variant<endpoint_envelope, endpoints_changed>;

} // namespace burdockshelf
