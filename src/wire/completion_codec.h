#pragma once

#include "core/ids.h"
#include "core/outcome.h"
#include "endpoints/endpoint_messages.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// Reads the body of /v1/completions or /v1/chat/completions. Errors are invalid_argument with a text for the caller; the prompt is never
/// part of it. A missing max_tokens is returned as 0.
outcome<model_request> decodeModelRequest(bool isChat, std::string body);

/// A server-sent event that carries the data.
std::string encodeStreamEvent(std::string_view data);

/// The server-sent event that ends a whole answer.
std::string_view streamEnd();

/// The answer to a call without streaming, in the OpenAI-compatible form.
std::string encodeCompletion(
    const model_request &call, const request_id &id, const std::string &text, const token_usage &usage, const std::string &finishReason);

/// What a caller is told about a request that has no answer.
struct refusal_text
{
    error cause;
    bool isNotExecuted = false;
    bool isEarlierOutcomeUnknown = false;
};

std::string encodeRefusal(const refusal_text &refusal);

} // namespace burdockshelf
