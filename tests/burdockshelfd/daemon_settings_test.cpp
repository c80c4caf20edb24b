#include "burdockshelfd/daemon_settings.h"

#include <string>

#include "support/property.h"

using namespace burdockshelf;

namespace
{

const std::string smallest = R"({"instance":"i","data_centre":"d","platform":"127.0.0.1:1",)"
                             R"("listen":{"callers":"127.0.0.1:0","operators":"127.0.0.1:0","mesh":"127.0.0.1:0"})";

bool isNamed(const outcome<daemon_settings> &settings, const std::string &pointer)
{
    return settings.has_error() && settings.error().message.find(pointer) != std::string::npos;
}

} // namespace

TEST_GROUP(daemon_settings_files) {};

// Guards against a setting that is misspelt or out of range and silently not in force.
TEST(daemon_settings_files, nameWhatIsWrong)
{
    CHECK_TRUE(decodeSettings(smallest + "}").has_value());
    CHECK_TRUE(isNamed(decodeSettings(smallest + R"(,"lease":1})"), "/lease"));
    CHECK_TRUE(isNamed(decodeSettings(smallest + R"(,"lease_ms":"3"})"), "/lease_ms"));
    CHECK_TRUE(isNamed(decodeSettings(smallest + R"(,"lease_ms":0})"), "/lease_ms"));
    CHECK_TRUE(isNamed(decodeSettings(smallest + R"(,"router":{"placement":"best"}})"), "/router/placement"));
    CHECK_TRUE(isNamed(decodeSettings(smallest + R"(,"quota_strategy":"none"})"), "/quota_strategy"));
    CHECK_TRUE(isNamed(decodeSettings(R"({"instance":"i","data_centre":"d","platform":"localhost:1","listen":{}})"), "/platform"));
    CHECK_TRUE(isNamed(loadSettings("no-such-file.json"), "no-such-file.json"));
}

// Guards against a crash on a damaged settings file.
TEST(daemon_settings_files, surviveDamage)
{
    CHECK_PROPERTY("a damaged file is a value", [](std::uint8_t at, char damage, std::uint8_t length) {
        std::string text = smallest + R"(,"router":{"queue_order":"fair"},"limits":{"body_bytes":4096}})";
        text[at % text.size()] = damage;
        text.resize(text.size() - length % 4);
        const auto decoded = decodeSettings(text);
        const bool isTold = decoded.has_value() || !decoded.error().message.empty();
        RC_ASSERT(isTold);
    });
}
