#pragma once

#include "core/outcome.h"
#include "endpoints/endpoint_messages.h"
#include "http/http_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// The parts of a prefill response that the router needs.
struct prefill_response
{
    kv_handle kv;
    token_usage usage;
};

/// The parts of an event of a decode stream that the router needs.
struct engine_event
{
    std::string text;
    std::string finishReason;
    std::optional<token_usage> usage;
    bool hasChoice = false;
};

/// Encodes requests to the engines' HTTP interface and decodes their responses: OpenAI-compatible bodies with kv_transfer_params, priority
/// and request_id. Malformed input from an engine gives an error value and no exception.
class engine_codec
{
public:
    static outcome<http_request> prefillRequest(const prefill_call &call);
    /// Always requests a stream with usage. For a response without streaming, the caller of this function assembles the events.
    static outcome<http_request> decodeRequest(const decode_call &call);
    static http_request resumeRequest(const resume_call &call);
    static http_request abortRequest(const request_id &request);
    static outcome<http_request> releaseRequest(const release_kv &release);
    static http_request orderRequest(const endpoint_order &order);
    static http_request loadRequest();

    static outcome<prefill_response> readPrefill(std::string_view body);
    static outcome<engine_event> readEvent(std::string_view data);
    static outcome<load_report> readLoad(const endpoint_id &endpoint, std::string_view body);
    /// The error for a status other than 200. It does not contain the engine's own message, because that may quote the prompt.
    static error readRefusal(int status);
};

} // namespace burdockshelf
