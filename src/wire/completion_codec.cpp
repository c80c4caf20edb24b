#include "wire/completion_codec.h"

#include "core/digest.h"
#include "wire/json_limits.h"

#include <utility>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

using json = nlohmann::json;

constexpr std::int64_t maxOutputTokens = 1000000;

// Prompts whose first prefixBytes bytes are equal go to the same prefill endpoint, load permitting, so that its prefix cache is used.
constexpr std::size_t prefixBytes = 1024;

/// Length of a prompt in bytes, and the hash of its first prefixBytes bytes.
class prompt_summary
{
public:
    void add(const std::string &text)
    {
        m_bytes += static_cast<std::int64_t>(text.size());
        if (m_prefix.size() < prefixBytes) {
            m_prefix.append(text, 0, prefixBytes - m_prefix.size());
        }
    }

    byte_count bytes() const
    {
        return byte_count(m_bytes);
    }

    std::uint64_t prefixHash() const
    {
        return stableHash(m_prefix);
    }

private:
    std::int64_t m_bytes = 0;
    std::string m_prefix;
};

outcome<prompt_summary> summarizeMessages(const json &document)
{
    const auto messages = document.find("messages");
    if (messages == document.end() || !messages->is_array() || messages->empty()) {
        return failure(error_code::invalid_argument, "\"messages\" must be a non-empty array");
    }
    prompt_summary summary;
    for (const json &message : *messages) {
        const bool isComplete =
            message.is_object() && message.contains("role") && message.contains("content") && message["content"].is_string();
        if (!isComplete) {
            return failure(error_code::invalid_argument, "each message needs a \"role\" and a string \"content\"");
        }
        summary.add(message["content"].get_ref<const std::string &>());
    }
    return summary;
}

outcome<prompt_summary> summarizePrompt(const json &document)
{
    const auto prompt = document.find("prompt");
    if (prompt == document.end() || !prompt->is_string()) {
        return failure(error_code::invalid_argument, "\"prompt\" must be a string");
    }
    prompt_summary summary;
    summary.add(prompt->get_ref<const std::string &>());
    return summary;
}

outcome<token_count> readMaxTokens(const json &document)
{
    const auto limit = document.find("max_tokens");
    if (limit == document.end()) {
        return token_count(0);
    }
    if (!limit->is_number_integer() || *limit < 1 || *limit > maxOutputTokens) {
        return failure(error_code::invalid_argument, "\"max_tokens\" must be an integer from 1 to " + std::to_string(maxOutputTokens));
    }
    return token_count(limit->get<std::int64_t>());
}

} // namespace

outcome<model_request> decodeModelRequest(bool isChat, std::string body)
{
    const json document = parseWithin(body, promptLimits);
    if (!document.is_object()) {
        return failure(error_code::invalid_argument, "the request body is not a JSON object in valid UTF-8, or too costly to parse");
    }
    const auto model = document.find("model");
    if (model == document.end() || !model->is_string() || model->get_ref<const std::string &>().empty()) {
        return failure(error_code::invalid_argument, "\"model\" must be a non-empty string");
    }
    model_request call;
    call.service = service_id(model->get<std::string>());
    call.isChat = isChat;
    const auto stream = document.find("stream");
    if (stream != document.end() && !stream->is_boolean()) {
        return failure(error_code::invalid_argument, "\"stream\" must be true or false");
    }
    call.isStream = stream != document.end() && stream->get<bool>();
    const json options = document.value("stream_options", json::object());
    call.wantsUsage = options.is_object() && options.value("include_usage", json(false)) == json(true);
    BOOST_OUTCOME_TRY(summary, isChat ? summarizeMessages(document) : summarizePrompt(document));
    call.promptBytes = summary.bytes();
    call.prefixHash = summary.prefixHash();
    BOOST_OUTCOME_TRY(maxTokens, readMaxTokens(document));
    call.maxTokens = maxTokens;
    call.body = std::move(body);
    return call;
}

std::string encodeStreamEvent(std::string_view data)
{
    std::string event = "data: ";
    event += data;
    event += "\n\n";
    return event;
}

std::string_view streamEndEvent()
{
    return "data: [DONE]\n\n";
}

std::string encodeCompletion(
    const model_request &call, const request_id &id, const std::string &text, const token_usage &usage, const std::string &finishReason)
{
    json choice = {{"index", 0}, {"finish_reason", finishReason}};
    if (call.isChat) {
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    const std::int64_t prompt = usage.prompt.value();
    const std::int64_t completion = usage.completion.value();
    const json document = {
        {"id", id.value()},
        {"object", call.isChat ? "chat.completion" : "text_completion"},
        {"model", call.service.value()},
        {"choices", json::array({choice})},
        {"usage", {{"prompt_tokens", prompt}, {"completion_tokens", completion}, {"total_tokens", prompt + completion}}},
    };
    return document.dump();
}

std::string encodeErrorResponse(const error_response &response)
{
    json details = {
        {"code", errorCodeName(response.cause.code)},
        {"message", response.cause.message},
        {"not_run", response.isNotExecuted},
    };
    if (response.isEarlierOutcomeUnknown) {
        details["earlier_request"] = "unknown";
    }
    return json {{"error", details}}.dump(-1, ' ', false, json::error_handler_t::replace);
}

} // namespace burdockshelf
