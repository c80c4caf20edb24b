#include "wire/peer_codec.h"

#include "support/property.h"
#include "support/test_records.h"

#include <iostream>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

std::string anyText()
{
    return *rc::gen::container<std::string>(rc::gen::inRange<char>(' ', '~'));
}

std::string anyWord()
{
    return *rc::gen::container<std::string>(rc::gen::inRange<char>('a', 'z'));
}

std::int64_t anyCount()
{
    return *rc::gen::inRange<std::int64_t>(0, std::numeric_limits<std::int64_t>::max());
}

bool anyFlag()
{
    return *rc::gen::arbitrary<bool>();
}

std::vector<peer_message> oneMessageOfEachKind()
{
    const roster_epoch epoch(anyCount());
    const workspace_id workspace(anyText());
    const endpoint_id endpoint(anyText());
    const request_id request(anyText());
    const token_count tokens(anyCount());
    snapshot state;
    state.covered = log_offset(anyCount());
    return {peer_freshness_request {epoch},
            peer_freshness_response {epoch, log_offset(anyCount() - 1), 1ms * anyCount(), anyFlag(), 1ms * anyCount()},
            peer_loan_request {data_centre_id(anyText()), epoch, workspace, tokens},
            peer_loan_response {epoch, tokens, 17, std::chrono::milliseconds(900)},
            loan_refund {workspace, tokens, 17, 3},
            peer_slot_request {epoch, endpoint, request},
            peer_slot_response {epoch, anyFlag(), slot_count(anyCount()), slot_count(anyCount())},
            peer_slot_release {endpoint, request, static_cast<attempt_verdict>(*rc::gen::inRange(0, 4))},
            slot_holdings {epoch, {{endpoint, request}, {endpoint_id(anyText()), request}}},
            record_relay {{{log_offset(anyCount()), record_id(anyText()), key_withdrawal {key_id(anyWord())}}}},
            peer_state_request {},
            peer_state_response {state},
            peer_pool_request {workspace, tokens},
            peer_pool_request {workspace, tokens, tokens, tokens, tokens},
            peer_pool_response {anyFlag(), anyFlag(), 1ms * anyCount()},
            peer_pool_response {true, anyFlag(), 1ms * anyCount(), anyFlag(), peer_pool_lease {tokens, tokens, 7s, tokens, tokens}},
            peer_pool_refund {workspace, tokens},
            peer_crash_report {"{}"},
            peer_stream_lookup {attempt_id(anyText()), {service_id(anyWord()), service_id(anyWord())}},
            peer_stream_lookup {attempt_id("\xff"), {}},
            peer_stream_origin {service_id(anyWord()), service_version(anyWord()), anyFlag()},
            peer_open_streams {"{}"},
            peer_records_request {relayed_topic(anyCount()), log_offset(anyCount()), 1ms * anyCount()},
            peer_records_response {anyFlag(),
                                   anyFlag(),
                                   {{anyText(), anyText()}, {anyText(), std::nullopt}},
                                   log_offset(anyCount()),
                                   anyCount(),
                                   1ms * anyCount(),
                                   1ms * anyCount()},
            peer_records_request {relayed_topic(anyCount()), log_offset(anyCount()), 1ms * anyCount(), relayed_era(anyCount())},
            peer_records_response {anyFlag(), anyFlag(), {}, log_offset(anyCount()), anyCount(), 1ms, 1ms, relayed_era(anyCount())},
            acknowledgement {anyFlag()}};
}

} // namespace

TEST_GROUP(peer_codecs)
{
    peer_codec codec {testRecords()};
};

// Guards against a member that is lost or changed when a message is encoded and decoded, for each kind of message.
TEST(peer_codecs, roundTrip)
{
    CHECK_PROPERTY("encode(decode(encode(m))) == encode(m)", [this] {
        for (const peer_message &message : oneMessageOfEachKind()) {
            const encoded_peer_message text = codec.encode(message);
            const auto decoded = codec.decode(text.kind, text.body);
            RC_ASSERT(decoded.has_value());
            RC_ASSERT(decoded.value().index() == message.index());
            RC_ASSERT(codec.encode(decoded.value()).body == text.body);
        }
    });
}

// Guards against a corrupt body that ends the process or decodes to a negative amount.
TEST(peer_codecs, returnErrorsForCorruptBodies)
{
    CHECK_PROPERTY("mutated bodies give values or errors", [this] {
        for (const peer_message &message : oneMessageOfEachKind()) {
            encoded_peer_message text = codec.encode(message);
            const auto position = *rc::gen::inRange<std::size_t>(0, text.body.size());
            text.body[position] = *rc::gen::arbitrary<char>();
            const auto decoded = codec.decode(text.kind, text.body);
            if (decoded && std::holds_alternative<peer_loan_request>(decoded.value())) {
                RC_ASSERT(std::get<peer_loan_request>(decoded.value()).amount >= token_count(0));
            }
        }
    });
    for (const char *body :
         {"", "[]", "{", "{\"e\":1}", "{\"e\":1,\"t\":-5}", "{\"e\":1,\"t\":18446744073709551615}", "{\"e\":\"1\",\"t\":5}"}) {
        CHECK_TRUE(codec.decode("loan_answer", body).error().code == error_code::invalid_message);
    }
    CHECK_TRUE(codec.decode("loan_answer", "{\"e\":1,\"t\":5,\"l\":1,\"d\":1,\"new\":1}").has_value());
}

// Guards against an instance of an older build whose messages about records are refused, or taken for those of a known era.
TEST(peer_codecs, readRecordMessagesWithoutAnEra)
{
    const auto request = codec.decode("records_ask", R"({"t":0,"f":7,"w":500})");
    CHECK_FALSE(std::get<peer_records_request>(request.value()).era.has_value());
    const auto response = codec.decode("records_answer", R"({"d":true,"g":false,"r":[],"e":7,"s":1,"t":0,"a":0})");
    CHECK_FALSE(std::get<peer_records_response>(response.value()).era.has_value());
    CHECK_TRUE(codec.encode(std::get<peer_records_request>(request.value())).body.find("\"o\"") == std::string::npos);
}

// Guards against a message of a kind that only newer builds know being decoded as another kind.
TEST(peer_codecs, rejectUnknownKindsAsUnsupported)
{
    CHECK_TRUE(codec.decode("rumour", "{}").error().code == error_code::unsupported);
    CHECK_TRUE(codec.decode("", "{}").error().code == error_code::unsupported);
}

// Guards against an identity or an error of a peer that is decoded wrongly.
TEST(peer_codecs, roundTripHellosAndErrors)
{
    const peer_hello hello = {instance_id("i-1"), incarnation_id("n-7"), data_centre_id("konya")};
    CHECK_TRUE(codec.decodeHello(codec.encodeHello(hello)).value() == hello);
    CHECK_TRUE(codec.decodeHello("{\"i\":\"\",\"n\":\"x\",\"d\":\"\"}").has_error());
    const error refusal = {error_code::stale_epoch, "epoch 3 has ended"};
    CHECK_TRUE(codec.decodeError(codec.encodeError(refusal)) == refusal);
    CHECK_TRUE(codec.decodeError("nonsense").code == error_code::invalid_message);
    CHECK_TRUE(codec.decodeError("{\"c\":\"new_code\",\"m\":\"\"}").code == error_code::internal);
}

// Guards against control messages that exceed the limit of 2 KB/s per node: a message about a single object must stay small.
TEST(peer_codecs, limitTheSizeOfControlMessages)
{
    const request_id request(std::string(32, 'a'));
    const endpoint_id endpoint("dil-hat-decode-07");
    const std::vector<peer_message> messages = {
        peer_freshness_request {roster_epoch(1234)},
        peer_freshness_response {roster_epoch(1234), log_offset(1234567), 120ms, true, 3000ms},
        peer_loan_request {data_centre_id("kirikkale"), roster_epoch(1234), workspace_id("ws-00042"), token_count(12000)},
        peer_loan_response {roster_epoch(1234), token_count(12000)},
        loan_refund {workspace_id("ws-00042"), token_count(9000)},
        peer_slot_request {roster_epoch(1234), endpoint, request},
        peer_slot_response {roster_epoch(1234), true, slot_count(17), slot_count(20)},
        peer_slot_release {endpoint, request, attempt_verdict::succeeded},
        slot_holdings {roster_epoch(1234), {{endpoint, request}}},
        peer_state_request {},
        acknowledgement {}};
    constexpr std::size_t maxMessageBytes = 96;
    for (const peer_message &message : messages) {
        const encoded_peer_message text = codec.encode(message);
        std::cout << text.kind << ": " << text.body.size() << " bytes\n";
        CHECK_TRUE(text.body.size() <= maxMessageBytes);
    }
}
