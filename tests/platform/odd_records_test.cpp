#include "platform/platform.h"

#include <limits>

#include <nlohmann/json.hpp>

#include "support/property.h"

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

nlohmann::json validEntry()
{
    return {{"service", "s"},
            {"address", "10.0.0.1:80"},
            {"zone", "z"},
            {"version", "v1"},
            {"slots", 64},
            {"state", "ready"},
            {"cold_left_ms", 0},
            {"stage", "decode"},
            {"sequence", 4},
            {"born", 17}};
}

// Text of the valid entry with the value of one field replaced by a text that need not be JSON.
std::string entryWith(const std::string &name, const std::string &value)
{
    nlohmann::json entry = validEntry();
    entry[name] = "@";
    std::string text = entry.dump();
    return text.replace(text.find("\"@\""), 3, value);
}

std::string nested(std::size_t levels)
{
    return std::string(levels, '[') + std::string(levels, ']');
}

nlohmann::json item(const std::string &key, const std::string &valueInBase64, std::int64_t offset)
{
    return {{"key", key}, {"value", valueInBase64}, {"offset", offset}};
}

} // namespace

// Another program may write entries among those of the endpoints. They must add no endpoint, end no process and leave the other entries as
// they are.
TEST_GROUP(odd_records)
{
    platform_adapter adapter;

    bool isAccepted(const std::string &entry, const std::string &key = "i-1")
    {
        return adapter.dialects().records.decodeEndpoint(key, entry).has_value();
    }

    outcome<store_page> page(const std::string &body)
    {
        return adapter.dialects().store.decodeNewest({200, {}, body});
    }
};

// Guards against numbers that do not fit into the type that holds them; 18446744073709551615 slots were read as -1, and the cold time
// overflowed when it was added to the current time.
TEST(odd_records, rejectsNumbersOutOfRange)
{
    CHECK_TRUE(isAccepted(validEntry().dump()));
    for (const std::string value : {"-1", "0", "9223372036854775807", "9223372036854775808", "18446744073709551615", "1e400", "1e18"}) {
        CHECK_FALSE(isAccepted(entryWith("slots", value)));
    }
    for (const std::string value : {"-1", "9223372036854775807", "18446744073709551615", "1e400", "1.5"}) {
        CHECK_FALSE(isAccepted(entryWith("born", value)));
    }
    for (const std::string value : {"1e300", "-1e300", "9223372036854775807", "18446744073709551615", "1e400"}) {
        CHECK_FALSE(isAccepted(entryWith("cold_left_ms", value)));
    }
    for (const std::string value : {"18446744073709551615", "1e400", "-9223372036854775809"}) {
        CHECK_FALSE(isAccepted(entryWith("sequence", value)));
    }
    CHECK_TRUE(isAccepted(entryWith("cold_left_ms", "1500.5")));
    CHECK_TRUE(isAccepted(entryWith("born", "1764902400000")));
}

// Port 0 cannot be connected to, so every request that chose such an endpoint first failed.
TEST(odd_records, rejectsPortsOutOfRange)
{
    for (const std::string port : {"0", "65536", "99999", "-80", "4294967376", "18446744073709551696", "80x", "", " 80", "+80"}) {
        CHECK_FALSE(isAccepted(entryWith("address", "\"10.0.0.1:" + port + "\"")));
    }
    CHECK_TRUE(isAccepted(entryWith("address", "\"10.0.0.1:65535\"")));
}

TEST(odd_records, rejectsDeeplyNestedEntries)
{
    for (const std::size_t levels : {100U, 10'000U, 300'000U}) {
        CHECK_FALSE(isAccepted(nested(levels)));
        CHECK_FALSE(isAccepted(std::string(levels, '[')));
        CHECK_FALSE(isAccepted(entryWith("zone", nested(levels))));
        CHECK_FALSE(isAccepted(entryWith("unknown", nested(levels))));
        std::string objects;
        for (std::size_t level = 0; level < levels; ++level) {
            objects += "{\"a\":";
        }
        CHECK_FALSE(isAccepted(objects + "1" + std::string(levels, '}')));
    }
    // Brackets within a string are no nesting.
    CHECK_TRUE(isAccepted(entryWith("unknown", "\"" + std::string(100, '[') + "\\\"[\"")));
    CHECK_TRUE(isAccepted(entryWith("models", R"([{"name":"m","adapters":[]}])")));
}

// The key is sent to the endpoint in a header field; a line break in it would add header fields or another request.
TEST(odd_records, rejectsKeysThatAreNoHeaderValue)
{
    for (const std::string &key :
         {std::string("i-1\r\nX-Other: 1"), std::string("i 1"), std::string("\xff"), std::string(), std::string(1, '\0')}) {
        CHECK_FALSE(isAccepted(validEntry().dump(), key));
    }
}

TEST(odd_records, rejectsMutatedEntriesOrReadsThemWithinTheirLimits)
{
    CHECK_PROPERTY("mutated entries", [this](const std::vector<std::pair<std::uint16_t, char>> &changes) {
        std::string text = validEntry().dump();
        for (const auto &[at, character] : changes) {
            text[at % text.size()] = character;
        }
        const auto entry = adapter.dialects().records.decodeEndpoint("i-1", text);
        if (entry) {
            RC_ASSERT(entry.value().slots > slot_count(0));
            RC_ASSERT(entry.value().address.port > 0);
            RC_ASSERT(entry.value().coldRemaining <= 24h * 365);
            RC_ASSERT(entry.value().startTime >= endpoint_start_time(0));
        }
    });
}

// Guards against a follower that reads the same page again and again because of one entry.
TEST(odd_records, keepTheOtherRecordsOfTheirPage)
{
    nlohmann::json numberAsValue = item("odd", "", 2);
    numberAsValue["value"] = 7;
    nlohmann::json noValue = item("odd", "", 2);
    noValue.erase("value");
    nlohmann::json negativeOffset = item("odd", "YWI=", -5);
    nlohmann::json hugeOffset = item("odd", "YWI=", 2);
    hugeOffset["offset"] = std::numeric_limits<std::uint64_t>::max();
    nlohmann::json numberAsKey = item("odd", "YWI=", 2);
    numberAsKey["key"] = 7;
    const std::vector<nlohmann::json> oddItems = {numberAsValue,
                                                  noValue,
                                                  negativeOffset,
                                                  hugeOffset,
                                                  numberAsKey,
                                                  item("odd", "*no base64*", 2),
                                                  7,
                                                  nullptr,
                                                  nlohmann::json::array()};
    for (const nlohmann::json &odd : oddItems) {
        const nlohmann::json body = {{"items", {item("a", "YWI=", 1), odd, item("b", "YWI=", 3)}}, {"more", false}, {"end", 4}};
        const auto read = page(body.dump());
        CHECK_TRUE(read.has_value());
        const auto &records = read.value().records;
        LONGS_EQUAL(3, records.size());
        STRCMP_EQUAL("a", records[0].key.c_str());
        STRCMP_EQUAL("ab", records[0].value->c_str());
        STRCMP_EQUAL("b", records[2].key.c_str());
        // The record is passed on as one that cannot be read, so that it is logged, and not as a deleted one.
        CHECK_TRUE(records[1].value.has_value());
        CHECK_TRUE(records[1].offset >= store_offset(0));
        CHECK_FALSE(isAccepted(*records[1].value, "odd"));
    }
}

// The store may write a key that is no UTF-8 as it is or as half a surrogate pair; neither is valid JSON.
TEST(odd_records, keepTheOtherRecordsOfAPageWithAKeyThatIsNoUtf8)
{
    for (const std::string key : {"\xff\xfe", "\\udcff", "x\\ud800\\ud800", "\\\\\\ud800"}) {
        const auto read = page(R"({"items":[{"key":"a","value":"YWI=","offset":1},{"key":")" + key
                               + R"(","value":"YWI=","offset":2},{"key":"\ud83d\ude00","value":"YWI=","offset":3}],"end":4})");
        CHECK_TRUE(read.has_value());
        LONGS_EQUAL(3, read.value().records.size());
        STRCMP_EQUAL("a", read.value().records[0].key.c_str());
        STRCMP_EQUAL("\xf0\x9f\x98\x80", read.value().records[2].key.c_str());
        CHECK_FALSE(isAccepted(validEntry().dump(), read.value().records[1].key));
    }
}

// The other numbers of the store's responses are used as positions and partitions.
TEST(odd_records, rejectsPositionsOutOfRange)
{
    const store_dialect &store = adapter.dialects().store;
    CHECK_FALSE(page(R"({"items":[],"end":18446744073709551615})").has_value());
    CHECK_FALSE(page(R"({"items":[],"end":-1})").has_value());
    CHECK_FALSE(store.decodeAssignment({200, {}, R"({"generation":18446744073709551615,"parts":[]})"}).has_value());
    CHECK_FALSE(store.decodeAssignment({200, {}, R"({"generation":1,"parts":[["quota-pool",-1,0]]})"}).has_value());
    LONGS_EQUAL(0, store.decodeHolders({200, {}, R"({"parts":[["quota-pool",-1,"a@127.0.0.1:1",0]]})"}).value().size());
}
