#include "wire/peer_codec.h"

#include "wire/gateway_message_codec.h"
#include "wire/member_reader.h"

#include <array>
#include <cstdint>
#include <utility>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

using json = nlohmann::json;

// A hello has three ids.
constexpr json_limits helloLimits = {8, byte_count(64 * 1024)};

constexpr std::array<std::string_view, 4> verdictNames = {"succeeded", "failed", "slow", "cancelled"};

std::string toText(const json &body)
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

error invalid(std::string message)
{
    return {error_code::invalid_message, std::move(message)};
}

json write(const peer_freshness_request &request, const record_codec_table & /*records*/)
{
    return {{"e", request.epoch.value()}};
}

void read(member_reader &body, peer_freshness_request &request, const record_codec_table & /*records*/)
{
    body.read("e", request.epoch);
}

json write(const peer_freshness_response &response, const record_codec_table & /*records*/)
{
    return {{"e", response.epoch.value()},
            {"c", response.covered.value()},
            {"a", response.age.count()},
            {"k", response.isPledge},
            {"p", response.pledged.count()}};
}

void read(member_reader &body, peer_freshness_response &response, const record_codec_table & /*records*/)
{
    constexpr std::int64_t noOffsetCovered = -1;
    body.read("e", response.epoch);
    body.read("c", response.covered, noOffsetCovered);
    body.read("a", response.age);
    body.read("k", response.isPledge);
    body.read("p", response.pledged);
}

json write(const peer_loan_request &request, const record_codec_table & /*records*/)
{
    return {
        {"d", request.dataCentre.value()}, {"e", request.epoch.value()}, {"w", request.workspace.value()}, {"t", request.amount.value()}};
}

void read(member_reader &body, peer_loan_request &request, const record_codec_table & /*records*/)
{
    body.read("d", request.dataCentre);
    body.read("e", request.epoch);
    body.read("w", request.workspace);
    body.read("t", request.amount);
}

json write(const peer_loan_response &response, const record_codec_table & /*records*/)
{
    return {{"e", response.epoch.value()}, {"t", response.amount.value()}, {"l", response.loan}, {"d", response.validFor.count()}};
}

void read(member_reader &body, peer_loan_response &response, const record_codec_table & /*records*/)
{
    body.read("e", response.epoch);
    body.read("t", response.amount);
    body.read("l", response.loan);
    body.read("d", response.validFor);
}

json write(const loan_refund &refund, const record_codec_table & /*records*/)
{
    return {{"w", refund.workspace.value()}, {"t", refund.amount.value()}, {"l", refund.loan}, {"s", refund.sequence}};
}

void read(member_reader &body, loan_refund &refund, const record_codec_table & /*records*/)
{
    body.read("w", refund.workspace);
    body.read("t", refund.amount);
    body.read("l", refund.loan);
    body.read("s", refund.sequence);
}

json write(const peer_slot_request &request, const record_codec_table & /*records*/)
{
    return {{"e", request.epoch.value()}, {"n", request.endpoint.value()}, {"r", request.request.value()}};
}

void read(member_reader &body, peer_slot_request &request, const record_codec_table & /*records*/)
{
    body.read("e", request.epoch);
    body.read("n", request.endpoint);
    body.read("r", request.request);
}

json write(const peer_slot_response &response, const record_codec_table & /*records*/)
{
    return {{"e", response.epoch.value()}, {"g", response.isGranted}, {"u", response.used.value()}, {"l", response.limit.value()}};
}

void read(member_reader &body, peer_slot_response &response, const record_codec_table & /*records*/)
{
    body.read("e", response.epoch);
    body.read("g", response.isGranted);
    body.read("u", response.used);
    body.read("l", response.limit);
}

json write(const peer_slot_release &release, const record_codec_table & /*records*/)
{
    return {
        {"n", release.endpoint.value()}, {"r", release.request.value()}, {"v", verdictNames.at(static_cast<std::size_t>(release.verdict))}};
}

void read(member_reader &body, peer_slot_release &release, const record_codec_table & /*records*/)
{
    std::string name;
    body.read("n", release.endpoint);
    body.read("r", release.request);
    body.read("v", name);
    for (std::size_t i = 0; i < verdictNames.size(); ++i) {
        if (verdictNames[i] == name) {
            release.verdict = static_cast<attempt_verdict>(i);
            return;
        }
    }
    body.reject("member 'v' is not a known verdict");
}

json write(const slot_holdings &holdings, const record_codec_table & /*records*/)
{
    json held = json::array();
    for (const auto &[endpoint, request] : holdings.held) {
        held.push_back(json::array({endpoint.value(), request.value()}));
    }
    return {{"e", holdings.epoch.value()}, {"h", std::move(held)}};
}

void read(member_reader &body, slot_holdings &holdings, const record_codec_table & /*records*/)
{
    body.read("e", holdings.epoch);
    for (const json &pair : body.elements("h")) {
        if (!pair.is_array() || pair.size() != 2 || !pair[0].is_string() || !pair[1].is_string()) {
            body.reject("member 'h' must contain only pairs of endpoint and request");
            return;
        }
        holdings.held.emplace_back(endpoint_id(pair[0].get<std::string>()), request_id(pair[1].get<std::string>()));
    }
}

// An encoded record is JSON text. It is embedded as a JSON value and not as a string, which would have to be escaped.
json write(const record_relay &relay, const record_codec_table &records)
{
    json entries = json::array();
    for (const stored_record &stored : relay.records) {
        const serialized_record text = records.encodeRecord(stored.record);
        entries.push_back(json::array({stored.offset.value(), stored.id.value(), text.kind, json::parse(text.body, nullptr, false)}));
    }
    return {{"r", std::move(entries)}};
}

void read(member_reader &body, record_relay &relay, const record_codec_table &records)
{
    for (const json &entry : body.elements("r")) {
        const bool isEntry =
            entry.is_array() && entry.size() == 4 && entry[0].is_number_integer() && entry[1].is_string() && entry[2].is_string();
        if (!isEntry || entry[0].get<std::int64_t>() < 0) {
            body.reject("member 'r' must contain only records");
            return;
        }
        auto record = records.decodeRecord(entry[2].get_ref<const std::string &>(), toText(entry[3]));
        if (!record) {
            body.reject(std::move(record).error());
            return;
        }
        relay.records.push_back(
            {log_offset(entry[0].get<std::int64_t>()), record_id(entry[1].get<std::string>()), std::move(record).value()});
    }
}

json write(const peer_state_request &request, const record_codec_table & /*records*/)
{
    return {{"c", request.covered.value()}};
}

void read(member_reader &body, peer_state_request &request, const record_codec_table & /*records*/)
{
    body.read("c", request.covered, -1);
}

json write(const acknowledgement &response, const record_codec_table & /*records*/)
{
    return {{"k", response.isAccepted}};
}

void read(member_reader &body, acknowledgement &response, const record_codec_table & /*records*/)
{
    body.read("k", response.isAccepted);
}

template<typename Message>
std::string encodeAs(const peer_message &message, const record_codec_table &records)
{
    return toText(write(std::get<Message>(message), records));
}

template<typename Message>
outcome<peer_message> decodeAs(std::string_view text, const record_codec_table &records)
{
    member_reader body(text);
    Message message;
    read(body, message, records);
    if (body.failure()) {
        return boost::outcome_v2::failure(*body.failure());
    }
    return peer_message(std::move(message));
}

// The body is the encoded snapshot itself: a snapshot is the largest message, and embedding it in an object would take another copy.
template<>
std::string encodeAs<peer_state_response>(const peer_message &message, const record_codec_table &records)
{
    return records.encodeSnapshot(std::get<peer_state_response>(message).state);
}

template<>
outcome<peer_message> decodeAs<peer_state_response>(std::string_view text, const record_codec_table &records)
{
    BOOST_OUTCOME_TRY(state, records.decodeSnapshot(text));
    return peer_message(peer_state_response {std::move(state)});
}

struct kind_entry
{
    std::string_view kind;
    std::string (*encode)(const peer_message &message, const record_codec_table &records);
    outcome<peer_message> (*decode)(std::string_view text, const record_codec_table &records);
};

template<typename Message>
constexpr kind_entry entryOf(std::string_view kind)
{
    return {kind, &encodeAs<Message>, &decodeAs<Message>};
}

// In the order of the alternatives of peer_message, whose index() selects the entry.
constexpr std::array<kind_entry, std::variant_size_v<peer_message>> kinds = {
    entryOf<peer_freshness_request>("freshness_ask"),
    entryOf<peer_freshness_response>("freshness_answer"),
    entryOf<peer_loan_request>("loan_ask"),
    entryOf<peer_loan_response>("loan_answer"),
    entryOf<loan_refund>("loan_refund"),
    entryOf<peer_slot_request>("slot_ask"),
    entryOf<peer_slot_response>("slot_answer"),
    entryOf<peer_slot_release>("slot_return"),
    entryOf<slot_holdings>("slot_holdings"),
    entryOf<record_relay>("record_relay"),
    entryOf<peer_state_request>("state_ask"),
    entryOf<peer_state_response>("state_answer"),
    entryOf<peer_pool_request>("pool_ask"),
    entryOf<peer_pool_response>("pool_answer"),
    entryOf<peer_pool_refund>("pool_return"),
    entryOf<peer_records_request>("records_ask"),
    entryOf<peer_records_response>("records_answer"),
    entryOf<peer_crash_report>("crash_report"),
    entryOf<peer_stream_lookup>("stream_ask"),
    entryOf<peer_stream_origin>("stream_answer"),
    entryOf<peer_open_streams>("open_streams"),
    entryOf<acknowledgement>("acknowledgement"),
};

error_code errorCodeFromName(std::string_view name)
{
    for (int code = 0; code <= static_cast<int>(error_code::internal); ++code) {
        if (errorCodeName(static_cast<error_code>(code)) == name) {
            return static_cast<error_code>(code);
        }
    }
    return error_code::internal;
}

} // namespace

peer_codec::peer_codec(record_codec_table records, json_limits limits)
    : m_records(records)
    , m_limits(limits)
{
}

encoded_peer_message peer_codec::encode(const peer_message &message) const
{
    const kind_entry &entry = kinds.at(message.index());
    return {std::string(entry.kind), entry.encode(message, m_records)};
}

outcome<peer_message> peer_codec::decode(std::string_view kind, std::string_view body) const
{
    if (!isWithin(body, m_limits)) {
        return failure(error_code::invalid_message, "the body is too costly to parse");
    }
    for (const kind_entry &entry : kinds) {
        if (entry.kind == kind) {
            return entry.decode(body, m_records);
        }
    }
    return failure(error_code::unsupported, "unknown kind of message");
}

std::string peer_codec::encodeHello(const peer_hello &hello) const
{
    return toText({{"i", hello.instance.value()}, {"n", hello.incarnation.value()}, {"d", hello.dataCentre.value()}});
}

outcome<peer_hello> peer_codec::decodeHello(std::string_view body) const
{
    if (!isWithin(body, helloLimits)) {
        return boost::outcome_v2::failure(invalid("the hello is too costly to parse"));
    }
    member_reader members(body);
    peer_hello hello;
    members.read("i", hello.instance);
    members.read("n", hello.incarnation);
    members.read("d", hello.dataCentre);
    if (members.failure()) {
        return boost::outcome_v2::failure(*members.failure());
    }
    if (hello.instance.isEmpty() || hello.incarnation.isEmpty()) {
        return boost::outcome_v2::failure(invalid("the hello lacks the instance or the incarnation"));
    }
    return hello;
}

std::string peer_codec::encodeError(const error &refusal) const
{
    return toText({{"c", errorCodeName(refusal.code)}, {"m", refusal.message}});
}

error peer_codec::decodeError(std::string_view body) const
{
    if (!isWithin(body, messageLimits)) {
        return invalid("the error is too costly to parse");
    }
    member_reader members(body);
    std::string name;
    error refusal;
    members.read("c", name);
    members.read("m", refusal.message);
    if (members.failure()) {
        return *members.failure();
    }
    refusal.code = errorCodeFromName(name);
    return refusal;
}

} // namespace burdockshelf
