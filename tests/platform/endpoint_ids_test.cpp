#include "platform/platform.h"

#include <nlohmann/json.hpp>

#include "support/property.h"

using namespace burdockshelf;

TEST_GROUP(endpoint_ids)
{
    platform_adapter adapter;
};

// Ids of prefill results and reservations are sent to endpoints in header fields and targets. A line break in one that a faulty endpoint
// gave out added header fields, or a whole request, to what another endpoint received.
TEST(endpoint_ids, mustBeVisibleText)
{
    const endpoint_dialect &endpoints = adapter.dialects().endpoints;
    for (const std::string &id : {std::string("a\r\nX-Tenant: other"), std::string("a b"), std::string(), std::string(100'000, 'a')}) {
        CHECK_FALSE(endpoints.decodePromptHandle(nlohmann::json {{"kv_handle", id}}.dump()).has_value());
        CHECK_FALSE(endpoints.decodeReservation(nlohmann::json {{"hold", id}}.dump()).has_value());
    }
    CHECK(endpoints.decodePromptHandle(R"({"kv_handle":"3fa09c41b7d5","tokens":1460,"version":1})") == "3fa09c41b7d5");
    CHECK(endpoints.decodeReservation(R"({"hold":"room-1"})") == "room-1");
}
