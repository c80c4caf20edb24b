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

/// A caller's call of a language model, as the router passes it on. The body is the caller's JSON, already checked.
struct model_request
{
    service_id service;
    bool isChat = false;
    bool isStream = false;
    token_count maxTokens;
    byte_count promptBytes;
    std::string body;
    /// True when a streaming caller wants the usage as the last event.
    bool wantsUsage = false;
    /// Hash of the beginning of the prompt; requests that share it share cached prefixes.
    std::uint64_t prefixHash = 0;
};

/// The prefill's returned kv_transfer_params, opaque to the router.
struct kv_handle
{
    std::string parameters;
};

/// What the engine counted for a request.
struct token_usage
{
    token_count prompt;
    token_count completion;
};

/// Asks for a prefill whose KV cache a decode endpoint will import.
struct prefill_call
{
    attempt_id attempt;
    request_id request;
    model_request model;
    int priority = 0;
    deadline until;
    /// Text that earlier attempts have generated and that belongs to the prompt of this one.
    std::string generated;
};

struct decode_call
{
    attempt_id attempt;
    request_id request;
    model_request model;
    kv_handle kv;
    int priority = 0;
    /// Text that earlier attempts have generated; the engine goes on behind it.
    std::string generated;
    /// Latest time for the first event; every event moves it on by interEventTimeout.
    deadline until;
    boot_clock::duration interEventTimeout {};
};

/// Goes on with a stream that was interrupted, from an event position.
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

/// Passes a call of a plain service on.
struct plain_call
{
    attempt_id attempt;
    http_request request;
    deadline until;
};

/// Drops an attempt: its connection is closed and, for a model, the engine is told to abort the request.
struct cancel_attempt
{
    attempt_id attempt;
};

/// Aborts a request of an instance that is gone.
struct abort_request
{
    request_id request;
};

/// Frees a prefill's KV cache that no decode will import.
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
    /// From 0 for each request at this engine.
    std::int64_t position = 0;
    /// Text of this event, for a continuation at another engine.
    std::string text;
    /// The event's JSON as the caller shall get it.
    std::string data;
    /// Empty but in the last event with text.
    std::string finishReason;
    /// Usage that came with this event. The engine is always asked for it, also when the caller is not to see it.
    std::optional<token_usage> usage;
    /// True for the event without text that only reports usage.
    bool isUsageOnly = false;
};

struct decode_done
{
    attempt_id attempt;
    token_usage usage;
    std::string finishReason;
    /// False when the engine has reported no usage in this attempt.
    bool isUsageKnown = false;
};

struct plain_done
{
    attempt_id attempt;
    http_response response;
};

/// An attempt ended without an answer.
struct attempt_failed
{
    attempt_id attempt;
    error cause;
    /// True when no byte can have reached the endpoint.
    bool isNotSent = false;
};

using attempt_event = std::variant<prefill_done, decode_event, decode_done, plain_done, attempt_failed>;

/// What an endpoint says of itself; late by nature.
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

/// Asks the endpoint for its load once; only the endpoint's owner asks.
struct load_query
{
};

using endpoint_task_message =
    std::variant<prefill_call, decode_call, resume_call, plain_call, cancel_attempt, abort_request, release_kv, endpoint_order, load_query>;

/// A message for the task of one endpoint. A call that cannot be handed on ends with attempt_failed and isNotSent.
struct endpoint_envelope
{
    endpoint_id to;
    endpoint_task_message message;
};

/// The endpoints in force; endpoints_supervisor starts and ends tasks accordingly.
struct endpoints_changed
{
    state_view_ptr view;
};

using endpoints_message = std::variant<endpoint_envelope, endpoints_changed>;

} // namespace burdockshelf
