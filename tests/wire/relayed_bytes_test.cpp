#include "wire/peer_codec.h"

#include "support/property.h"
#include "support/test_records.h"

using namespace burdockshelf;

TEST_GROUP(relayed_bytes) {};

// The records of a topic may be written by other programs. When bytes that are no UTF-8 were replaced on the way, an instance used an
// endpoint whose entry the relaying instance had rejected as unreadable.
TEST(relayed_bytes, arriveUnchanged)
{
    CHECK_PROPERTY("any bytes", [](const std::string &key, const std::string &value) {
        const peer_codec codec(testRecords());
        peer_records_response response;
        response.records = {{key, value}, {"deleted", std::nullopt}, {"\xff\xfe", std::string("{\"zone\":\"\xff\"}")}};
        const auto [kind, body] = codec.encode(response);
        const auto decoded = codec.decode(kind, body);
        RC_ASSERT(decoded.has_value());
        const auto &records = std::get<peer_records_response>(decoded.value()).records;
        RC_ASSERT(records.size() == 3U);
        for (std::size_t i = 0; i < records.size(); ++i) {
            RC_ASSERT(records[i].key == response.records[i].key);
            RC_ASSERT(records[i].value == response.records[i].value);
        }
    });
}
