#include "wire/configuration_codec.h"
#include "wire/generated_values.h"
#include "wire/record_codec.h"
#include "wire/snapshot_codec.h"

#include "support/property.h"

using namespace burdockshelf;

namespace
{

/// Truncates the text or overwrites one to three of its bytes.
std::string corrupt(std::string text)
{
    if (*rc::gen::arbitrary<bool>()) {
        return text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size()));
    }
    for (int changes = *rc::gen::inRange(1, 4); changes > 0; --changes) {
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::element('0', '-', '"', '{', ']', 'x', '\\', '\0', '\xff');
    }
    return text;
}

std::string smallDocument(const std::string &urgencyClasses, const std::string &services)
{
    return R"({"version":1,"data_centres":{},"workspaces":{},"endpoints":{},"services":)" + services + R"(,"urgency_classes":)"
        + urgencyClasses + "}";
}

void checkError(const std::string &text, const char *message)
{
    const auto decoded = decodeConfiguration(text);
    CHECK_TRUE(decoded.has_error());
    STRCMP_EQUAL(message, decoded.error().message.c_str());
    CHECK_TRUE(decoded.error().code == error_code::invalid_settings);
}

} // namespace

TEST_GROUP(codecs) {};

// Guards against a value that is lost or changed when a log record, snapshot or configuration document is encoded and decoded.
TEST(codecs, roundTrip)
{
    CHECK_PROPERTY("decodeRecord(encodeRecord(r)) == r", [] {
        const log_record record = anyRecord();
        const encoded_record encoded = encodeRecord(record);
        const auto decoded = decodeRecord(encoded.kind, encoded.body);
        RC_LOG() << encoded.body;
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value() == record);
    });
    CHECK_PROPERTY("decodeConfiguration(encodeConfiguration(c)) == c", [] {
        const configuration config = anyConfiguration();
        const auto decoded = decodeConfiguration(encodeConfiguration(config));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value() == config);
    });
    CHECK_PROPERTY("decodeSnapshot(encodeSnapshot(s)) == s", [] {
        const snapshot state = anySnapshot();
        const auto decoded = decodeSnapshot(encodeSnapshot(state));
        RC_ASSERT(decoded.has_value());
        RC_ASSERT(decoded.value() == state);
    });
}

// Guards against a crash or a hang on malformed input from a faulty peer or a corrupt record. Corrupt input that still decodes must give a
// value that can be encoded and decoded again.
TEST(codecs, rejectCorruptInput)
{
    CHECK_PROPERTY("a corrupt body gives an error or a valid value", [] {
        const encoded_record encoded = encodeRecord(anyRecord());
        const auto decoded = decodeRecord(encoded.kind, corrupt(encoded.body));
        RC_CLASSIFY(decoded.has_error(), "error");
        if (decoded) {
            const encoded_record again = encodeRecord(decoded.value());
            RC_ASSERT(decodeRecord(again.kind, again.body).has_value());
        }
    });
    CHECK_PROPERTY("a truncated document gives an error", [] {
        const std::string text = encodeConfiguration(anyConfiguration());
        RC_ASSERT(decodeConfiguration(text.substr(0, *rc::gen::inRange<std::size_t>(0, text.size()))).has_error());
    });
    const std::string deep(200'000, '[');
    CHECK_TRUE(decodeRecord("claims", deep).has_error());
    CHECK_TRUE(decodeRecord("claims", R"({"version":1,"at_ms":)" + deep).has_error());
    CHECK_TRUE(decodeRecord("claims", R"({"version":1,"at_ms":18446744073709551615,"claims":[]})").has_error());
}

// Guards against a record from a newer build that stops this build from reading the log, or whose content is lost when it is relayed.
TEST(codecs, preserveUnknownRecords)
{
    const auto newer = decodeRecord("key_withdraw", R"({"version":2,"keys":["a"]})");
    CHECK_TRUE(newer.has_value() && newer.value() == log_record(unknown_record {"key_withdraw", R"({"version":2,"keys":["a"]})"}));
    const auto unknown = decodeRecord("later", "\xff");
    CHECK_TRUE(unknown.has_value());
    const encoded_record again = encodeRecord(unknown.value());
    STRCMP_EQUAL("later", again.kind.c_str());
    STRCMP_EQUAL("\xff", again.body.c_str());
}

// Guards against an invalid configuration that is accepted, or that is rejected with a message that does not locate the error.
TEST(codecs, locateErrorsInAConfiguration)
{
    checkError("[]", "the document: found an array, allowed: an object");
    checkError("{", "the document: found text that is not JSON, allowed: an object");
    checkError(smallDocument("{}", R"({"s":{"kind":"model","default_urgency":"u"}})"),
               R"(/services/s/default_urgency: found "u", allowed: the name of an entry of /urgency_classes)");
    checkError(smallDocument("{}", R"({"s":{"kind":"odd","default_urgency":"u"}})"),
               R"(/services/s/kind: found "odd", allowed: one of model, plain)");
    checkError(smallDocument("{}", R"({"s":{"kind":"plain","default_urgency":"u"}})"),
               "/services/s/path_prefix: found nothing, allowed: a path that starts with / for a plain service");
    checkError(smallDocument(R"({"a/b":{"priority":-1}})", "{}"),
               "/urgency_classes/a~1b/priority: found -1, allowed: a whole number from 0 to 1000");
    checkError(smallDocument(R"({"u":{"priority":"high"}})", "{}"),
               R"(/urgency_classes/u/priority: found "high", allowed: a whole number from 0 to 1000)");
    checkError(smallDocument(R"({"u":{"priority":1,"max_queue_ms":5}})", "{}"),
               "/urgency_classes/u/max_queue_ms: found an unknown key, allowed: only between_tokens_target_ms first_token_target_ms "
               "max_queue_time_ms priority");
    checkError(smallDocument("[]", "{}"), "/urgency_classes: found an array, allowed: an object");
    checkError(R"({"version":2})", "/version: found 2, allowed: a whole number from 1 to 1");
}
