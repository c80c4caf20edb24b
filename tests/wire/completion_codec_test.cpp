#include "wire/completion_codec.h"

#include <string>

#include "support/property.h"

using namespace burdockshelf;

TEST_GROUP(completion_codecs) {};

// Guards against a request body that is accepted although a member that the router needs is missing or invalid.
TEST(completion_codecs, rejectInvalidBodies)
{
    const char *bodies[] = {
        "",
        "[]",
        "{}",
        "{\"model\":1,\"prompt\":\"p\"}",
        "{\"model\":\"m\"}",
        "{\"model\":\"m\",\"prompt\":[1]}",
        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}",
        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":1.5}",
        "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":99999999}",
        "{\"model\":\"m\",\"prompt\":\"p\",\"stream\":\"yes\"}",
        "{\"model\":\"m\",\"prompt\":\"\xff\xfe\"}",
    };
    // The first argument says whether the body is that of a chat request.
    for (const char *body : bodies) {
        const auto decoded = decodeModelRequest(false, body);
        CHECK_TRUE(decoded.has_error());
        CHECK_TRUE(decoded.error().code == error_code::invalid_argument);
    }
    CHECK_TRUE(decodeModelRequest(true, "{\"model\":\"m\",\"messages\":[{\"role\":\"user\"}]}").has_error());
}

// Guards against a prompt size, and so a charge, that omits part of the prompt, such as all messages but one.
TEST(completion_codecs, countTheWholePrompt)
{
    const auto chat = decodeModelRequest(true,
                                         R"({"model":"m","stream":true,"stream_options":{"include_usage":true},"max_tokens":7,)"
                                         R"("messages":[{"role":"system","content":"abc"},{"role":"user","content":"defg"}]})");
    CHECK_EQUAL(7, chat.value().promptBytes.value());
    CHECK_EQUAL(7, chat.value().maxTokens.value());
    CHECK_TRUE(chat.value().isStream && chat.value().wantsUsage);
    // A text prompt equal to the joined contents of the chat messages. The same prefix hash shows that the summary of the chat covers the
    // text of all its messages, in order.
    const auto text = decodeModelRequest(false, R"({"model":"m","prompt":"abcdefg"})");
    CHECK_TRUE(text.value().prefixHash == chat.value().prefixHash);
    CHECK_EQUAL(0, text.value().maxTokens.value());
}

// Guards against a crash on a corrupt body, and against an error without a message.
TEST(completion_codecs, handleCorruptBodies)
{
    CHECK_PROPERTY("a corrupt body gives a value or an error with a message", [](std::uint8_t at, char replacement, bool isChat) {
        std::string body =
            R"({"model":"m","messages":[{"role":"user","content":"x"}],"prompt":"p","stream_options":{"include_usage":true}})";
        body[at % body.size()] = replacement;
        const auto decoded = decodeModelRequest(isChat, body);
        const bool hasValueOrMessage = decoded.has_value() || !decoded.error().message.empty();
        RC_ASSERT(hasValueOrMessage);
    });
}
