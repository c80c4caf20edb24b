#include "burdockshelfd/daemon_settings.h"

#include <string>

#include "support/property.h"

using namespace burdockshelf;

namespace
{

const std::string minimalSettings = R"({"instance":"i","data_centre":"d","platform":"127.0.0.1:1",)"
                                    R"("listen":{"callers":"127.0.0.1:0","operators":"127.0.0.1:0","mesh":"127.0.0.1:0"})";

bool mentions(const outcome<daemon_settings> &settings, const std::string &pointer)
{
    return settings.has_error() && settings.error().message.find(pointer) != std::string::npos;
}

} // namespace

TEST_GROUP(daemon_settings_files) {};

// Guards against a misspelt or out-of-range setting that is silently ignored.
TEST(daemon_settings_files, reportTheInvalidMember)
{
    CHECK_TRUE(decodeSettings(minimalSettings + "}").has_value());
    CHECK_TRUE(mentions(decodeSettings(minimalSettings + R"(,"lease":1})"), "/lease"));
    CHECK_TRUE(mentions(decodeSettings(minimalSettings + R"(,"lease_ms":"3"})"), "/lease_ms"));
    CHECK_TRUE(mentions(decodeSettings(minimalSettings + R"(,"lease_ms":0})"), "/lease_ms"));
    CHECK_TRUE(mentions(decodeSettings(minimalSettings + R"(,"router":{"placement":"best"}})"), "/router/placement"));
    CHECK_TRUE(mentions(decodeSettings(minimalSettings + R"(,"quota_strategy":"none"})"), "/quota_strategy"));
    CHECK_TRUE(mentions(decodeSettings(R"({"instance":"i","data_centre":"d","platform":"localhost:1","listen":{}})"), "/platform"));
    CHECK_TRUE(mentions(loadSettings("no-such-file.json"), "no-such-file.json"));
}

// Guards against a crash, or an error without a message, on a corrupted settings file.
TEST(daemon_settings_files, handleCorruptedFiles)
{
    CHECK_PROPERTY("a corrupted file gives settings or an error message", [](std::uint8_t at, char replacement, std::uint8_t length) {
        std::string text = minimalSettings + R"(,"router":{"queue_order":"fair"},"limits":{"body_bytes":4096}})";
        text[at % text.size()] = replacement;
        text.resize(text.size() - length % 4);
        const auto decoded = decodeSettings(text);
        const bool isResultOrMessage = decoded.has_value() || !decoded.error().message.empty();
        RC_ASSERT(isResultOrMessage);
    });
}
