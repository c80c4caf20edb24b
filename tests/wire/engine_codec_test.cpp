#include "wire/engine_codec.h"

// Included before CppUTest, whose macro "new" breaks the standard headers.
#include <nlohmann/json.hpp>

#include "support/property.h"

using namespace burdockshelf;
using nlohmann::json;

namespace
{

decode_call decodeCall(bool isChat, const std::string &body)
{
    decode_call call;
    call.request = request_id("r1");
    call.model = {service_id("m"), isChat, false, token_count(30), byte_count(5), body};
    call.kv = {R"({"do_remote_prefill":true,"remote_host":"h"})"};
    call.priority = 3;
    return call;
}

json bodyOf(const outcome<http_request> &request)
{
    return json::parse(request.value().body);
}

void checkEqual(const json &expected, const json &actual)
{
    STRCMP_EQUAL(expected.dump().c_str(), actual.dump().c_str());
}

const std::string eventText =
    R"({"choices":[{"index":0,"text":" ab","finish_reason":"length"}],"usage":{"prompt_tokens":7,"completion_tokens":2}})";
const std::string prefillText =
    R"({"choices":[{"text":"x"}],"usage":{"prompt_tokens":7,"completion_tokens":1},"kv_transfer_params":{"remote_host":"h","n":[1,2]}})";
const std::string loadText = R"({"used":3,"total":20,"incarnation":"i1","kv_blocks":5})";

} // namespace

TEST_GROUP(engine_codecs) {};

// Guards against a prefill request that generates more than one token or is streamed.
TEST(engine_codecs, buildAPrefill)
{
    prefill_call call;
    call.request = request_id("r1");
    call.model = {service_id("m"),
                  true,
                  true,
                  token_count(30),
                  byte_count(5),
                  R"({"model":"m","messages":[],"stream":true,"stream_options":{"a":1},"max_completion_tokens":9})"};
    const auto request = engine_codec::prefillRequest(call);
    STRCMP_EQUAL("/v1/chat/completions", request.value().target.c_str());
    checkEqual({{"model", "m"},
                {"messages", json::array()},
                {"stream", false},
                {"max_tokens", 1},
                {"priority", 0},
                {"request_id", "r1"},
                {"kv_transfer_params", {{"do_remote_decode", true}}}},
               bodyOf(request));
}

// Guards against a decode request without usage in its response, for which unused tokens could not be refunded.
TEST(engine_codecs, buildADecodeAsAStreamWithUsage)
{
    checkEqual({{"prompt", "p"},
                {"stream", true},
                {"stream_options", {{"include_usage", true}}},
                {"max_tokens", 30},
                {"priority", 3},
                {"request_id", "r1"},
                {"kv_transfer_params", {{"do_remote_prefill", true}, {"remote_host", "h"}}}},
               bodyOf(engine_codec::decodeRequest(decodeCall(false, R"({"prompt":"p","stream":false,"max_tokens":99})"))));
}

// Guards against a continuation in which the engine replies to the generated text instead of continuing it.
TEST(engine_codecs, buildAContinuation)
{
    decode_call completion = decodeCall(false, R"({"prompt":"p"})");
    completion.generated = " so far";
    checkEqual("p so far", bodyOf(engine_codec::decodeRequest(completion))["prompt"]);
    decode_call chat = decodeCall(true, R"({"messages":[{"role":"user","content":"p"}]})");
    chat.generated = " so far";
    const json body = bodyOf(engine_codec::decodeRequest(chat));
    checkEqual({{"role", "assistant"}, {"content", " so far"}}, body["messages"].back());
    checkEqual(json::array({true, false}), json::array({body["continue_final_message"], body["add_generation_prompt"]}));
    decode_call tokens = decodeCall(false, R"({"prompt":[1,2]})");
    tokens.generated = " so far";
    CHECK_TRUE(engine_codec::decodeRequest(tokens).error().code == error_code::unsupported);
}

// Guards against a request id whose characters change the path or the query of the request to the engine.
TEST(engine_codecs, percentEncodeTheIdInAResumeRequest)
{
    resume_call call;
    call.request = request_id("a/b?c%");
    call.from = 12;
    STRCMP_EQUAL("/v1/requests/a%2Fb%3Fc%25/events?from=12", engine_codec::resumeRequest(call).target.c_str());
}

// Guards against members of an engine's response that are decoded wrongly.
TEST(engine_codecs, decodeResponses)
{
    const auto event = engine_codec::readEvent(eventText).value();
    STRCMP_EQUAL(" ab", event.text.c_str());
    STRCMP_EQUAL("length", event.finishReason.c_str());
    CHECK_EQUAL(2, event.usage->completion.value());
    STRCMP_EQUAL("q", engine_codec::readEvent(R"({"choices":[{"delta":{"content":"q"}}],"usage":null})").value().text.c_str());
    CHECK_FALSE(engine_codec::readEvent(R"({"choices":[]})").value().hasChoice);
    STRCMP_EQUAL(R"({"n":[1,2],"remote_host":"h"})", engine_codec::readPrefill(prefillText).value().kv.parameters.c_str());
    const auto load = engine_codec::readLoad(endpoint_id("e"), loadText).value();
    CHECK_EQUAL(20, load.total.value());
    STRCMP_EQUAL("i1", load.incarnation.value().c_str());
}

// Guards against a malformed response of an engine that ends the process; malformed input must give the error invalid_message.
TEST(engine_codecs, handleMutatedInput)
{
    CHECK_PROPERTY("mutated input is decoded or rejected", [] {
        for (const std::string &original : {eventText, prefillText, loadText}) {
            std::string text = original;
            const int changes = *rc::gen::inRange(1, 4);
            for (int i = 0; i < changes; ++i) {
                text[*rc::gen::inRange<std::size_t>(0, text.size())] = static_cast<char>(*rc::gen::inRange(-128, 128));
            }
            text.resize(*rc::gen::inRange<std::size_t>(0, text.size() + 1));
            const auto event = engine_codec::readEvent(text);
            const auto prefill = engine_codec::readPrefill(text);
            const auto load = engine_codec::readLoad(endpoint_id("e"), text);
            RC_ASSERT(event.has_value() || event.error().code == error_code::invalid_message);
            RC_ASSERT(prefill.has_value() || prefill.error().code == error_code::invalid_message);
            RC_ASSERT(load.has_value() || load.error().code == error_code::invalid_message);
        }
    });
    for (const char *text : {"", "[]", "{}", R"({"choices":{}})", R"({"choices":[1]})", R"({"choices":[],"usage":{"prompt_tokens":-1}})"}) {
        CHECK_TRUE(engine_codec::readEvent(text).has_error());
    }
}
