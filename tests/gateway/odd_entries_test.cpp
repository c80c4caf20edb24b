#include "gateway/scripted_deployment.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

std::size_t countOf(const std::string &text, const std::string &part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

std::string replaced(std::string text, const std::string &part, const std::string &by)
{
    return text.replace(text.find(part), part.size(), by);
}

} // namespace

// Another program may write odd entries among those of the endpoints. The gateway must go on, follow later changes, use the other
// endpoints, and send nothing to an endpoint that an odd entry names.
TEST_GROUP(odd_entries)
{
    scripted_deployment site;
    scripted_endpoint named {site.loop};

    std::map<std::string, std::string> oddEntries()
    {
        const std::string valid = named.entry("plain", "z");
        const std::string port = std::to_string(named.address().port);
        const std::string nested = std::string(50'000, '[') + std::string(50'000, ']');
        return {
            {"nested", nested},
            {"nested-field", replaced(valid, "\"v1\"", nested)},
            {"slots", replaced(valid, "\"slots\":8", "\"slots\":18446744073709551615")},
            {"cold", replaced(valid, "\"cold_left_ms\":0", "\"cold_left_ms\":1e300")},
            {"overflow", replaced(valid, "\"cold_left_ms\":0", "\"cold_left_ms\":1e400")},
            {"born", replaced(valid, "\"born\":1000", "\"born\":18446744073709551615")},
            {"port", replaced(valid, ":" + port, ":" + std::to_string(65536 + named.address().port))},
            {"port-0", replaced(valid, ":" + port, ":0")},
            {"state", replaced(valid, "ready", "resting")},
            {"utf8", replaced(valid, "\"v1\"", "\"\xff\xfe\"")},
            {"bytes", std::string("\x00\xff\x01", 3)},
            {"line\r\nX-Other: 1", valid},
        };
    }

    // Every odd entry must be logged with its offset and cause, and nothing may have been sent to the endpoint that they name.
    void checkUnused()
    {
        const std::string log = site.logText();
        CHECK(countOf(log, "event=record_unreadable") >= oddEntries().size());
        CHECK(log.find("event=record_unreadable key=port-0 offset=") != std::string::npos);
        LONGS_EQUAL(0, named.requests().size());
        LONGS_EQUAL(0, countOf(log, "event=call_failed"));
    }

    // The gateway must learn of a change that follows the odd entries.
    void checkFollows()
    {
        site.store.drop("keyed.servers", "p");
        while (site.call("GET", "/safe/x").status != 503 && !site.isTimedOut) { }
        site.store.put("keyed.servers", "p2", site.plain.entry("plain", "z"));
        while (site.call("GET", "/safe/x").status != 200 && !site.isTimedOut) { }
    }
};

TEST(odd_entries, amongTheNewestRecordsAreLeftOut)
{
    for (const auto &[key, value] : oddEntries()) {
        site.store.put("keyed.servers", key, value);
    }
    site.startServing();
    checkFollows();
    checkUnused();
}

TEST(odd_entries, amongLaterRecordsAreLeftOut)
{
    site.startServing();
    for (const auto &[key, value] : oddEntries()) {
        site.store.put("keyed.servers", key, value);
    }
    checkFollows();
    checkUnused();
}
