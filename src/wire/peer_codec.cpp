#include "wire/peer_codec.h"

#include "wire/bytes_codec.h"

#include <array>
#include <cstdint>
#include <limits>
#include <optional>
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

// Bytes of a record as a string, or as an array with their hexadecimal form when they are no UTF-8.
json encodeBytes(const std::string &bytes)
{
    return isUtf8(bytes) ? json(bytes) : json::array({toHex(bytes)});
}

std::optional<std::string> decodeBytes(const json &encoded)
{
    if (encoded.is_string()) {
        return encoded.get<std::string>();
    }
    if (!encoded.is_array() || encoded.size() != 1 || !encoded[0].is_string()) {
        return std::nullopt;
    }
    return fromHex(encoded[0].get<std::string>());
}

error invalid(std::string message)
{
    return {error_code::invalid_message, std::move(message)};
}

/// Reads the members of a JSON object and keeps the first error.
class member_reader
{
public:
    explicit member_reader(std::string_view text)
        : m_object(json::parse(text, nullptr, false))
    {
        if (!m_object.is_object()) {
            reject("the body is not a JSON object");
        }
    }

    template<typename Tag>
    void read(const char *name, strong_id<Tag> &id)
    {
        if (const json *member = find(name, &json::is_string)) {
            id = strong_id<Tag>(member->get<std::string>());
        }
    }

    template<typename Tag>
    void read(const char *name, quantity<Tag> &amount, std::int64_t minimum = 0)
    {
        if (const auto number = integer(name, minimum)) {
            amount = quantity<Tag>(*number);
        }
    }

    void read(const char *name, std::int64_t &number)
    {
        if (const auto found = integer(name, 0)) {
            number = *found;
        }
    }

    void read(const char *name, std::chrono::milliseconds &duration)
    {
        if (const auto number = integer(name, 0)) {
            duration = std::chrono::milliseconds(*number);
        }
    }

    void read(const char *name, std::uint64_t &number)
    {
        if (const json *member = find(name, &json::is_number_unsigned)) {
            number = member->get<std::uint64_t>();
        }
    }

    void read(const char *name, bool &flag)
    {
        if (const json *member = find(name, &json::is_boolean)) {
            flag = member->get<bool>();
        }
    }

    void read(const char *name, std::string &text)
    {
        if (const json *member = find(name, &json::is_string)) {
            text = member->get<std::string>();
        }
    }

    /// The elements of an array member. If it is missing or has another type, keeps an error and returns an empty array.
    const json &elements(const char *name)
    {
        static const json none = json::array();
        const json *member = find(name, &json::is_array);
        return member == nullptr ? none : *member;
    }

    /// The non-negative integers of an array member that older builds do not send.
    template<std::size_t Count>
    std::optional<std::array<std::int64_t, Count>> optionalNumbers(const char *name)
    {
        if (m_failure || !m_object.contains(name)) {
            return std::nullopt;
        }
        std::array<std::int64_t, Count> numbers {};
        const json &member = m_object[name];
        bool isValid = member.is_array() && member.size() == Count;
        for (std::size_t i = 0; isValid && i < Count; ++i) {
            isValid = member[i].is_number_integer() && member[i].get<std::int64_t>() >= 0;
            numbers[i] = isValid ? member[i].get<std::int64_t>() : 0;
        }
        if (!isValid) {
            reject(std::string("member '") + name + "' does not consist of the expected numbers");
            return std::nullopt;
        }
        return numbers;
    }

    void reject(std::string message)
    {
        if (!m_failure) {
            m_failure = invalid(std::move(message));
        }
    }

    void reject(error cause)
    {
        if (!m_failure) {
            m_failure = std::move(cause);
        }
    }

    const std::optional<error> &failure() const
    {
        return m_failure;
    }

private:
    const json *find(const char *name, bool (json::*hasType)() const noexcept)
    {
        if (m_failure) {
            return nullptr;
        }
        const auto found = m_object.find(name);
        if (found == m_object.end() || !((*found).*hasType)()) {
            reject(std::string("member '") + name + "' is missing or has the wrong type");
            return nullptr;
        }
        return &*found;
    }

    std::optional<std::int64_t> integer(const char *name, std::int64_t minimum)
    {
        const json *member = find(name, &json::is_number_integer);
        if (member == nullptr) {
            return std::nullopt;
        }
        const bool isTooLarge = member->is_number_unsigned()
            && member->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        if (isTooLarge || member->get<std::int64_t>() < minimum) {
            reject(std::string("member '") + name + "' is out of range");
            return std::nullopt;
        }
        return member->get<std::int64_t>();
    }

    json m_object;
    std::optional<error> m_failure;
};

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

json write(const peer_pool_request &request, const record_codec_table & /*records*/)
{
    json body = {{"w", request.workspace.value()}, {"t", request.cost.value()}};
    if (request.returned != token_count() || request.spent != token_count() || request.givenUpRate != token_count()) {
        body["l"] = {request.returned.value(), request.spent.value(), request.givenUpRate.value()};
    }
    return body;
}

void read(member_reader &body, peer_pool_request &request, const record_codec_table & /*records*/)
{
    body.read("w", request.workspace);
    body.read("t", request.cost);
    if (const auto numbers = body.optionalNumbers<3>("l")) {
        request.returned = token_count((*numbers)[0]);
        request.spent = token_count((*numbers)[1]);
        request.givenUpRate = token_count((*numbers)[2]);
    }
}

json write(const peer_pool_response &response, const record_codec_table & /*records*/)
{
    json body = {{"h", response.isHolder}, {"g", response.isGranted}, {"r", response.retryAfter.count()}};
    if (response.isFirstPeriod) {
        body["f"] = {1};
    }
    if (response.lease) {
        const peer_pool_lease &lease = *response.lease;
        body["l"] = {
            lease.rate.value(), lease.burst.value(), lease.validFor.count(), lease.workspaceRate.value(), lease.workspaceBurst.value()};
    }
    return body;
}

void read(member_reader &body, peer_pool_response &response, const record_codec_table & /*records*/)
{
    body.read("h", response.isHolder);
    body.read("g", response.isGranted);
    body.read("r", response.retryAfter);
    response.isFirstPeriod = body.optionalNumbers<1>("f").has_value();
    if (const auto numbers = body.optionalNumbers<5>("l")) {
        response.lease = {token_count((*numbers)[0]),
                          token_count((*numbers)[1]),
                          std::chrono::milliseconds((*numbers)[2]),
                          token_count((*numbers)[3]),
                          token_count((*numbers)[4])};
    }
}

json write(const peer_pool_refund &refund, const record_codec_table & /*records*/)
{
    return {{"w", refund.workspace.value()}, {"t", refund.cost.value()}};
}

void read(member_reader &body, peer_pool_refund &refund, const record_codec_table & /*records*/)
{
    body.read("w", refund.workspace);
    body.read("t", refund.cost);
}

json write(const peer_records_request &request, const record_codec_table & /*records*/)
{
    return {{"t", request.topic.value()}, {"f", request.from.value()}, {"w", request.wait.count()}};
}

void read(member_reader &body, peer_records_request &request, const record_codec_table & /*records*/)
{
    body.read("t", request.topic);
    body.read("f", request.from);
    body.read("w", request.wait);
}

json write(const peer_records_response &response, const record_codec_table & /*records*/)
{
    json entries = json::array();
    for (const relayed_record &record : response.records) {
        json entry = json::array({encodeBytes(record.key)});
        if (record.value) {
            entry.push_back(encodeBytes(*record.value));
        }
        entries.push_back(std::move(entry));
    }
    return {{"d", response.isReader},
            {"g", response.isTruncated},
            {"r", std::move(entries)},
            {"e", response.end.value()},
            {"s", response.resyncCount},
            {"t", response.sinceResync.count()},
            {"a", response.age.count()}};
}

void read(member_reader &body, peer_records_response &response, const record_codec_table & /*records*/)
{
    body.read("d", response.isReader);
    body.read("g", response.isTruncated);
    body.read("e", response.end);
    body.read("s", response.resyncCount);
    body.read("t", response.sinceResync);
    body.read("a", response.age);
    for (const json &entry : body.elements("r")) {
        const bool hasSize = entry.is_array() && !entry.empty() && entry.size() <= 2;
        const std::optional<std::string> key = hasSize ? decodeBytes(entry.front()) : std::nullopt;
        const std::optional<std::string> value = hasSize && entry.size() == 2 ? decodeBytes(entry.back()) : std::nullopt;
        if (!key || (entry.size() == 2 && !value)) {
            body.reject("member 'r' must contain only records");
            return;
        }
        response.records.push_back({*key, value});
    }
}

json write(const peer_crash_report &message, const record_codec_table & /*records*/)
{
    return {{"v", message.report}};
}

void read(member_reader &body, peer_crash_report &message, const record_codec_table & /*records*/)
{
    body.read("v", message.report);
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
