#pragma once

#include "core/outcome.h"
#include "endpoints/endpoint_messages.h"
#include "http/http_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// The parts of a prefill's answer that the router needs.
struct prefill_response
{
    kv_handle kv;
    token_usage usage;
};

/// The parts of one event of a decode stream that the router needs.
struct engine_event
{
    std::string text;
    std::string finishReason;
    std::optional<token_usage> usage;
    bool hasChoice = false;
};

/// Translates between typed messages and the engines' HTTP interface: OpenAI-compatible bodies with kv_transfer_params, priority and
/// request_id. Whatever an engine sends that cannot be read is an error value.
class engine_codec
{
public:
    static outcome<http_request> prefillRequest(const prefill_call &call);
    /// Always asks for a stream with usage; whoever wants a whole answer assembles it.
    static outcome<http_request> decodeRequest(const decode_call &call);
    static http_request resumeRequest(const resume_call &call);
    static http_request abortRequest(const request_id &request);
    static outcome<http_request> releaseRequest(const release_kv &release);
    static http_request orderRequest(const endpoint_order &order);
    static http_request loadRequest();

    static outcome<prefill_response> readPrefill(std::string_view body);
    static outcome<engine_event> readEvent(std::string_view data);
    static outcome<load_report> readLoad(const endpoint_id &endpoint, std::string_view body);
    /// What a status other than 200 means. The engine's own text is left out, because it may quote the prompt.
    static error readRefusal(int status);
};

} // namespace burdockshelf
