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

/// Part of an answer to a caller.
struct answer_start
{
    request_id request;
    int status = 200;
    http_headers headers;
};

struct answer_data
{
    request_id request;
    std::string bytes;
};

struct answer_end
{
    request_id request;
};

/// A whole answer.
struct whole_answer
{
    request_id request;
    http_response response;
};

/// A refusal or failure. After answer_start the stream is cut instead, so that the caller cannot take it for whole.
struct refusal
{
    request_id request;
    int status = 503;
    error cause;
    /// True only when the request was provably never dispatched.
    bool isNotRun = true;
    std::optional<std::chrono::milliseconds> retryAfter;
};

using caller_answer = std::variant<answer_start, answer_data, answer_end, whole_answer, refusal>;

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
    sink<caller_answer> reply;
};

/// The caller has left; nobody waits for the answer.
struct caller_gone
{
    request_id request;
};

} // namespace burdockshelf
