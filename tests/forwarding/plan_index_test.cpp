#include "forwarding/event_splitter.h"
#include "forwarding/plan_fixture.h"

#include "support/property.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;

TEST_GROUP(plan_index) {};

TEST(plan_index, choosesTheLongestPrefixOfTheHost)
{
    traffic_plan content;
    content.routes = {
        plan_fixture::route("a", request_kind::idempotent, "s", 1),
        plan_fixture::route("a/b", request_kind::idempotent, "s", 1),
    };
    const plan_index plan(content);
    STRCMP_EQUAL("a/b", plan.findRoute("H.example:80", "/a/b/c")->id.value().c_str());
    STRCMP_EQUAL("a", plan.findRoute("h.example", "/a/c")->id.value().c_str());
    CHECK(plan.findRoute("h.example", "/ab") == nullptr);
    CHECK(plan.findRoute("other.example", "/a/c") == nullptr);
}

// However the network splits a stream, only complete events are passed on, each once and in order.
TEST(plan_index, passesOnCompleteEventsForEverySplit)
{
    CHECK_PROPERTY("events", [](const std::vector<std::uint8_t> &lengths) {
        std::string stream;
        for (int id = 1; id <= 5; ++id) {
            stream += "id: " + std::to_string(id) + "\ndata: " + std::string(static_cast<std::size_t>(id) * 3, 'x') + "\n\n";
        }
        event_splitter splitter;
        std::string passed;
        std::size_t at = 0;
        for (const std::uint8_t length : lengths) {
            const std::string piece = stream.substr(std::min(at, stream.size()), length % 16);
            at += piece.size();
            const std::string whole = splitter.take(piece);
            RC_ASSERT(whole.empty() || whole.ends_with("\n\n"));
            passed += whole;
        }
        passed += splitter.take(stream.substr(std::min(at, stream.size())));
        RC_ASSERT(passed == stream);
        RC_ASSERT(splitter.lastId() == std::optional<std::int64_t>(5));
    });
}
