#pragma once

#include "core/error.h"
#include "core/ids.h"
#include "endpoints/endpoint_messages.h"
#include "http/http_message.h"
#include "runtime/sink.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>

namespace burdockshelf
{

/// The first part of a model's response: the endpoints that run the request.
struct model_started
{
    request_id request;
    endpoint_id prefill;
    endpoint_id decode;
};

/// One event of a model's response. Events come in order and without repetition.
struct model_event
{
    request_id request;
    std::string text;
    /// JSON of the event as the engine sent it.
    std::string data;
};

/// The response of a model is complete.
struct model_finished
{
    request_id request;
    token_usage usage;
    std::string finishReason;
};

/// The complete response of a plain service.
struct plain_response
{
    request_id request;
    http_response response;
    endpoint_id endpoint;
};

/// A refusal or failure. Once a stream has started, its connection is closed, so that the caller cannot take the truncated response for a
/// complete one.
struct refusal
{
    request_id request;
    int status = 503;
    error cause;
    /// True only when it is certain that the request was not dispatched to an endpoint.
    bool isNotExecuted = true;
    /// True when the request carries an idempotency key and it is not known whether an earlier request with that key was executed.
    bool isEarlierOutcomeUnknown = false;
    std::optional<std::chrono::milliseconds> retryAfter;
};

using caller_response = std::variant<model_started, model_event, model_finished, plain_response, refusal>;

/// A request as received, with the API key removed from everything that is passed on.
struct caller_request
{
    request_id id;
    /// The API key that the caller presented, empty if there is none. Never logged or passed on.
    std::string presentedKey;
    idempotency_key idempotency;
    urgency_class_id urgency;
    /// Method, target, headers and body, without the API key.
    http_request request;
    /// Set for calls of the model API; their body is moved here.
    std::optional<model_request> model;
    sink<caller_response> reply;
};

/// The caller has disconnected; nobody waits for the response.
struct caller_disconnected
{
    request_id request;
};

} // namespace burdockshelf
