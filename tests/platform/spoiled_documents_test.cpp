#include "platform/platform.h"

#include "support/base64_text.h"
#include "support/spoiled_json.h"

using namespace burdockshelf;

namespace
{

http_response okResponse(const std::string &body)
{
    return {200, {}, body};
}

} // namespace

// Guards against bodies that cost many times their size once parsed: one spoiled response of an endpoint ended an instance (review, case
// 10).
TEST_GROUP(spoiled_documents)
{
    platform_adapter adapter;
};

TEST(spoiled_documents, ofReservationsAndPrefillsAreCheap)
{
    const endpoint_dialect &endpoints = adapter.dialects().endpoints;
    checkSpoiledDocumentsAreCheap(R"({"hold":"h")", [&](const std::string &text) { static_cast<void>(endpoints.decodeReservation(text)); });
    checkSpoiledDocumentsAreCheap(R"({"kv_handle":"h")",
                                  [&](const std::string &text) { static_cast<void>(endpoints.decodePromptHandle(text)); });
}

TEST(spoiled_documents, ofLoadReportsAreCheap)
{
    const endpoint_dialect &endpoints = adapter.dialects().endpoints;
    checkSpoiledDocumentsAreCheap(R"({"stage":"decode","busy":false,"sequence":1)",
                                  [&](const std::string &text) { static_cast<void>(endpoints.decodeEngineStatus(okResponse(text))); });
}

TEST(spoiled_documents, ofTheStoreAreCheap)
{
    const store_dialect &store = adapter.dialects().store;
    checkSpoiledDocumentsAreCheap(R"({"items":[],"more":false,"end":1)",
                                  [&](const std::string &text) { static_cast<void>(store.decodeNewest(okResponse(text))); });
    checkSpoiledDocumentsAreCheap(R"({"generation":1,"parts":[])",
                                  [&](const std::string &text) { static_cast<void>(store.decodeAssignment(okResponse(text))); });
    checkSpoiledDocumentsAreCheap(R"({"parts":[])",
                                  [&](const std::string &text) { static_cast<void>(store.decodeHolders(okResponse(text))); });
}

// A record may be as short as its length field, and takes a hundred bytes once decoded.
TEST(spoiled_documents, ofManyEmptyRecordsAreCheap)
{
    const std::string batch(3'000'000, '\0');
    const peak_memory memory;
    CHECK_FALSE(adapter.dialects().store.decodeBatch(okResponse(batch)).has_value());
    CHECK(memory.growthKb() < 2 * maxDocumentMemoryKb);
}

TEST(spoiled_documents, ofRecordsAreCheap)
{
    const record_dialect &records = adapter.dialects().records;
    // The configuration is the largest document.
    constexpr std::int64_t maxConfigurationMemoryKb = 24 * 1024;
    checkSpoiledDocumentsAreCheap(R"({"version":1)",
                                  [&](const std::string &text) { static_cast<void>(records.decodeOperator("config", text)); },
                                  maxConfigurationMemoryKb);
    checkSpoiledDocumentsAreCheap(R"({"service":"s")",
                                  [&](const std::string &text) { static_cast<void>(records.decodeOperator("rollout/s", text)); });
    checkSpoiledDocumentsAreCheap(R"({"service":"s")",
                                  [&](const std::string &text) { static_cast<void>(records.decodeEndpoint("i-1", text)); });
}

// A page of the largest records and of the most records must pass: 500 of them, or one megabyte with the record that completes it.
TEST(spoiled_documents, areToldFromLargePages)
{
    const store_dialect &store = adapter.dialects().store;
    const auto page = [](std::size_t records, std::size_t recordBytes) {
        const std::string value = base64Text(std::string(recordBytes, 'x'));
        std::string text = R"({"items":[)";
        for (std::size_t i = 0; i < records; ++i) {
            text += (i == 0 ? "" : ",") + (R"({"key":"k)" + std::to_string(i)) + R"(","value":")" + value + R"(","offset":1})";
        }
        return text + R"(],"more":true,"end":600})";
    };
    const auto many = store.decodeNewest(okResponse(page(500, 100)));
    LONGS_EQUAL(500, many.value().records.size());
    const auto large = store.decodeNewest(okResponse(page(5, 256 * 1024)));
    LONGS_EQUAL(5, large.value().records.size());
    LONGS_EQUAL(256 * 1024, large.value().records.back().value->size());
}

// A report on as many requests as the largest engines run at once must pass.
TEST(spoiled_documents, areToldFromLargeLoadReports)
{
    std::string report = R"({"stage":"decode","busy":false,"sequence":1,"runs":[["0123456789abcdef",100000,100,1])";
    for (int i = 0; i < 1024; ++i) {
        report += R"(,["0123456789abcdef",100000,100,1])";
    }
    CHECK_TRUE(adapter.dialects().endpoints.decodeEngineStatus(okResponse(report + "]}")).has_value());
}

// A configuration with all workspaces of the planned size must pass.
TEST(spoiled_documents, areToldFromLargeConfigurations)
{
    constexpr int workspaces = 11'000;
    std::string configuration = R"({"version":1,"routes":[],"services":[],"tenants":[)";
    for (int i = 0; i < workspaces; ++i) {
        configuration += (i == 0 ? "" : ",") + (R"({"name":"w)" + std::to_string(i))
            + R"(","api_keys":["a","b"],"priority":1,"rate_per_s":1,"burst":2})";
    }
    CHECK_TRUE(adapter.dialects().records.decodeOperator("config", configuration + "]}").has_value());
}
