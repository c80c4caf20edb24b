#include "wire/engine_codec.h"

#include "wire/json_limits.h"

#include <limits>
#include <utility>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

using nlohmann::json;

/// Error code for an HTTP status of an engine.
struct status_error_code
{
    int status;
    error_code code;
};

constexpr status_error_code statusErrorCodes[] = {
    {400, error_code::invalid_argument},
    {404, error_code::not_found},
    {408, error_code::deadline_exceeded},
    {409, error_code::conflict},
    {410, error_code::not_found},
    {413, error_code::too_large},
    {422, error_code::invalid_argument},
    {429, error_code::overloaded},
    {501, error_code::unsupported},
    {503, error_code::unavailable},
};

outcome<json> parseObject(std::string_view text, const char *what, const json_limits &limits = messageLimits)
{
    json parsed = parseWithin(text, limits);
    if (!parsed.is_object()) {
        return failure(error_code::invalid_message, std::string(what) + " is not a JSON object, or too costly to parse");
    }
    return parsed;
}

// Reads a count reported by an engine. Returns nothing if it is missing, negative, fractional or does not fit 32 bits.
std::optional<std::int64_t> readCount(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_number_unsigned()) {
        return std::nullopt;
    }
    const auto value = found->get<std::uint64_t>();
    if (value > static_cast<std::uint64_t>(std::numeric_limits<std::int32_t>::max())) {
        return std::nullopt;
    }
    return static_cast<std::int64_t>(value);
}

std::optional<std::string> readText(const json &object, const char *name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_string()) {
        return std::nullopt;
    }
    return found->get<std::string>();
}

bool isAbsent(const json &object, const char *name)
{
    const auto found = object.find(name);
    return found == object.end() || found->is_null();
}

outcome<token_usage> readUsage(const json &object)
{
    const auto prompt = readCount(object, "prompt_tokens");
    const auto completion = readCount(object, "completion_tokens");
    if (!prompt || !completion) {
        return failure(error_code::invalid_message, "usage lacks a valid prompt_tokens or completion_tokens");
    }
    return token_usage {token_count(*prompt), token_count(*completion)};
}

// Replaces invalid UTF-8 instead of throwing. Request bodies with invalid UTF-8 have been rejected before; an id may still contain it.
std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

http_request postJson(std::string target, const json &body)
{
    return {"POST", std::move(target), {{"Content-Type", "application/json"}}, dump(body)};
}

std::string modelTarget(const model_request &model)
{
    return model.isChat ? "/v1/chat/completions" : "/v1/completions";
}

outcome<json> requestBody(const model_request &model, const request_id &request, int priority)
{
    BOOST_OUTCOME_TRY(body, parseObject(model.body, "the request body", promptLimits));
    body["request_id"] = request.value();
    body["priority"] = priority;
    body.erase("max_completion_tokens");
    return std::move(body);
}

outcome<void> appendToPrompt(json &body, const std::string &generated)
{
    const auto prompt = body.find("prompt");
    if (prompt == body.end() || !prompt->is_string()) {
        return failure(error_code::unsupported, "only a prompt that is a single string can be continued");
    }
    *prompt = prompt->get<std::string>() + generated;
    return success();
}

outcome<void> appendToMessages(json &body, const std::string &generated)
{
    const auto messages = body.find("messages");
    if (messages == body.end() || !messages->is_array()) {
        return failure(error_code::unsupported, "only an array of messages can be continued");
    }
    messages->push_back({{"role", "assistant"}, {"content", generated}});
    body["continue_final_message"] = true;
    body["add_generation_prompt"] = false;
    return success();
}

// Text of a choice: "text" in a completion, "delta.content" in a chat completion. Empty for other deltas, such as a role.
std::string readChoiceText(const json &choice)
{
    if (const auto text = readText(choice, "text")) {
        return *text;
    }
    const auto delta = choice.find("delta");
    if (delta == choice.end() || !delta->is_object()) {
        return {};
    }
    return readText(*delta, "content").value_or("");
}

std::string percentEncoded(std::string_view text)
{
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char byte : text) {
        const auto code = static_cast<unsigned char>(byte);
        const bool isUnreserved = (byte >= '0' && byte <= '9') || (byte >= 'A' && byte <= 'Z') || (byte >= 'a' && byte <= 'z')
            || byte == '-' || byte == '_' || byte == '.' || byte == '~';
        if (isUnreserved) {
            encoded += byte;
        } else {
            encoded += '%';
            encoded += digits[code >> 4U];
            encoded += digits[code & 15U];
        }
    }
    return encoded;
}

outcome<void> appendGenerated(json &body, const model_request &model, const std::string &generated)
{
    if (generated.empty()) {
        return success();
    }
    return model.isChat ? appendToMessages(body, generated) : appendToPrompt(body, generated);
}

} // namespace

outcome<http_request> engine_codec::prefillRequest(const prefill_call &call)
{
    BOOST_OUTCOME_TRY(body, requestBody(call.model, call.request, call.priority));
    body["max_tokens"] = 1;
    body["stream"] = false;
    body.erase("stream_options");
    body["kv_transfer_params"] = {{"do_remote_decode", true}};
    BOOST_OUTCOME_TRYV(appendGenerated(body, call.model, call.generated));
    return postJson(modelTarget(call.model), body);
}

outcome<http_request> engine_codec::decodeRequest(const decode_call &call)
{
    BOOST_OUTCOME_TRY(body, requestBody(call.model, call.request, call.priority));
    body["max_tokens"] = call.model.maxTokens.value();
    body["stream"] = true;
    body["stream_options"] = {{"include_usage", true}};
    body.erase("kv_transfer_params");
    if (!call.kv.parameters.empty()) {
        BOOST_OUTCOME_TRY(parameters, parseObject(call.kv.parameters, "kv_transfer_params"));
        body["kv_transfer_params"] = std::move(parameters);
    }
    BOOST_OUTCOME_TRYV(appendGenerated(body, call.model, call.generated));
    return postJson(modelTarget(call.model), body);
}

http_request engine_codec::resumeRequest(const resume_call &call)
{
    return {"GET", "/v1/requests/" + percentEncoded(call.request.value()) + "/events?from=" + std::to_string(call.from), {}, {}};
}

http_request engine_codec::abortRequest(const request_id &request)
{
    return postJson("/abort_request", {{"request_id", request.value()}});
}

outcome<http_request> engine_codec::releaseRequest(const release_kv &release)
{
    BOOST_OUTCOME_TRY(parameters, parseObject(release.kv.parameters, "kv_transfer_params"));
    return postJson("/v1/kv/release", {{"request_id", release.request.value()}, {"kv_transfer_params", std::move(parameters)}});
}

http_request engine_codec::orderRequest(const endpoint_order &order)
{
    return postJson("/v1/orders", {{"kind", order.kind}, {"model", order.model}, {"fencing", order.fencing.value()}});
}

http_request engine_codec::loadRequest()
{
    return {"GET", "/load", {}, {}};
}

outcome<prefill_response> engine_codec::readPrefill(std::string_view body)
{
    BOOST_OUTCOME_TRY(response, parseObject(body, "the prefill response"));
    const auto parameters = response.find("kv_transfer_params");
    if (parameters == response.end() || !parameters->is_object()) {
        return failure(error_code::invalid_message, "the prefill response has no kv_transfer_params");
    }
    prefill_response result;
    result.kv.parameters = dump(*parameters);
    const auto usage = response.find("usage");
    if (usage != response.end() && usage->is_object()) {
        BOOST_OUTCOME_TRY(counts, readUsage(*usage));
        result.usage = counts;
    }
    return result;
}

outcome<engine_event> engine_codec::readEvent(std::string_view data)
{
    BOOST_OUTCOME_TRY(body, parseObject(data, "the event"));
    const auto choices = body.find("choices");
    if (choices == body.end() || !choices->is_array()) {
        return failure(error_code::invalid_message, "the event has no array of choices");
    }
    engine_event event;
    if (!choices->empty()) {
        const json &choice = choices->front();
        if (!choice.is_object()) {
            return failure(error_code::invalid_message, "the choice in the event is not an object");
        }
        event.hasChoice = true;
        event.text = readChoiceText(choice);
        event.finishReason = readText(choice, "finish_reason").value_or("");
    }
    if (!isAbsent(body, "usage")) {
        BOOST_OUTCOME_TRY(counts, readUsage(body["usage"]));
        event.usage = counts;
    }
    return event;
}

outcome<load_report> engine_codec::readLoad(const endpoint_id &endpoint, std::string_view body)
{
    BOOST_OUTCOME_TRY(report, parseObject(body, "the load report"));
    const auto used = readCount(report, "used");
    const auto total = readCount(report, "total");
    const auto incarnation = readText(report, "incarnation");
    if (!used || !total || !incarnation) {
        return failure(error_code::invalid_message, "the load report lacks a valid used, total or incarnation");
    }
    return load_report {endpoint, incarnation_id(*incarnation), slot_count(*used), slot_count(*total)};
}

error engine_codec::readRefusal(int status)
{
    const std::string text = "the endpoint responded with status " + std::to_string(status);
    for (const status_error_code &entry : statusErrorCodes) {
        if (entry.status == status) {
            return {entry.code, text};
        }
    }
    return {error_code::unavailable, text};
}

} // namespace burdockshelf
