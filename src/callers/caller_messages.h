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

/// The first part of a model's answer: where the request runs.
struct model_started
{
    request_id request;
    endpoint_id prefill;
    endpoint_id decode;
};

/// One event of a model's answer, in order and without repetition.
struct model_event
{
    request_id request;
    std::string text;
    /// The event's JSON as the engine sent it.
    std::string data;
};

/// The answer of a model is whole.
struct model_finished
{
    request_id request;
    token_usage usage;
    std::string finishReason;
};

/// The answer of a plain service, whole.
struct plain_answer
{
    request_id request;
    http_response response;
    endpoint_id endpoint;
};

/// A refusal or failure. After the first event of a stream the connection is cut, so that the caller cannot take the answer for whole.
struct refusal
{
    request_id request;
    int status = 503;
    error cause;
    /// True only when the request was provably never dispatched.
    bool isNotExecuted = true;
    /// True when the request carries an idempotency key and it is not known whether an earlier request with that key has run.
    bool isEarlierOutcomeUnknown = false;
    std::optional<std::chrono::milliseconds> retryAfter;
};

using caller_response = std::variant<model_started, model_event, model_finished, plain_answer, refusal>;

/// A request as it came, with the key taken out of everything that goes on.
struct caller_request
{
    request_id id;
    /// The key as presented, empty without one. Never logged, never sent on.
    std::string presentedKey;
    idempotency_key idempotency;
    urgency_class_id urgency;
    /// Method, target, headers and body without the key.
    http_request request;
    /// Set for the model interface.
    std::optional<model_request> model;
    sink<caller_response> reply;
};

/// The caller has left; nobody waits for the answer.
struct caller_disconnected
{
    request_id request;
};

} // namespace burdockshelf
