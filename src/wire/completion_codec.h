#pragma once

#include "core/ids.h"
#include "core/outcome.h"
#include "endpoints/endpoint_messages.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// Decodes the body of a request to /v1/completions or /v1/chat/completions. An error has the code invalid_argument and a message for the
/// caller, which never quotes the prompt. If max_tokens is missing, the result has 0.
outcome<model_request> decodeModelRequest(bool isChat, std::string body);

/// A server-sent event with the given data, which must be a single line.
std::string encodeStreamEvent(std::string_view data);

/// The server-sent event that marks the end of a complete streamed response.
std::string_view streamEndEvent();

/// The OpenAI-compatible body of the response to a request without streaming.
std::string encodeCompletion(
    const model_request &call, const request_id &id, const std::string &text, const token_usage &usage, const std::string &finishReason);

/// Content of the error response to a request that has no result.
struct error_response
{
    error cause;
    bool isNotExecuted = false;
    bool isEarlierOutcomeUnknown = false;
};

std::string encodeErrorResponse(const error_response &response);

} // namespace burdockshelf
