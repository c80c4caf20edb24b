#include "wire/peer_codec.h"

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

constexpr std::array<std::string_view, 4> verdictNames = {"succeeded", "failed", "slow", "cancelled"};

std::string toText(const json &body)
{
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

error invalid(std::string message)
{
    return {error_code::invalid_message, std::move(message)};
}

/// Reads the members of a JSON object and keeps the first thing that is wrong with it.
class member_reader
{
public:
    explicit member_reader(std::string_view text)
        : m_object(json::parse(text, nullptr, false))
    {
        if (!m_object.is_object()) {
            refuse("the body is not a JSON object");
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
    void read(const char *name, quantity<Tag> &amount, std::int64_t least = 0)
    {
        if (const auto number = integer(name, least)) {
            amount = quantity<Tag>(*number);
        }
    }

    void read(const char *name, std::int64_t &number)
    {
        if (const auto found = integer(name, 0)) {
            number = *found;
        }
    }

    void read(const char *name, std::chrono::milliseconds &span)
    {
        if (const auto number = integer(name, 0)) {
            span = std::chrono::milliseconds(*number);
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

    /// The elements of an array member; empty when it is missing or something else.
    const json &elements(const char *name)
    {
        static const json none = json::array();
        const json *member = find(name, &json::is_array);
        return member == nullptr ? none : *member;
    }

    void refuse(std::string message)
    {
        if (!m_failure) {
            m_failure = invalid(std::move(message));
        }
    }

    void refuse(error cause)
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
    const json *find(const char *name, bool (json::*isWanted)() const noexcept)
    {
        if (m_failure) {
            return nullptr;
        }
        const auto found = m_object.find(name);
        if (found == m_object.end() || !((*found).*isWanted)()) {
            refuse(std::string("member '") + name + "' is missing or has the wrong type");
            return nullptr;
        }
        return &*found;
    }

    std::optional<std::int64_t> integer(const char *name, std::int64_t least)
    {
        const json *member = find(name, &json::is_number_integer);
        if (member == nullptr) {
            return std::nullopt;
        }
        const bool isTooLarge = member->is_number_unsigned()
            && member->get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
        if (isTooLarge || member->get<std::int64_t>() < least) {
            refuse(std::string("member '") + name + "' is out of range");
            return std::nullopt;
        }
        return member->get<std::int64_t>();
    }

    json m_object;
    std::optional<error> m_failure;
};

json write(const peer_freshness_request &ask, const record_translator & /*records*/)
{
    return {{"e", ask.epoch.value()}};
}

void read(member_reader &body, peer_freshness_request &ask, const record_translator & /*records*/)
{
    body.read("e", ask.epoch);
}

json write(const peer_freshness_response &answer, const record_translator & /*records*/)
{
    return {{"e", answer.epoch.value()},
            {"c", answer.covered.value()},
            {"a", answer.age.count()},
            {"k", answer.isPledge},
            {"p", answer.pledged.count()}};
}

void read(member_reader &body, peer_freshness_response &answer, const record_translator & /*records*/)
{
    constexpr std::int64_t nothingCovered = -1;
    body.read("e", answer.epoch);
    body.read("c", answer.covered, nothingCovered);
    body.read("a", answer.age);
    body.read("k", answer.isPledge);
    body.read("p", answer.pledged);
}

json write(const peer_loan_request &ask, const record_translator & /*records*/)
{
    return {{"d", ask.dataCentre.value()}, {"e", ask.epoch.value()}, {"w", ask.workspace.value()}, {"t", ask.amount.value()}};
}

void read(member_reader &body, peer_loan_request &ask, const record_translator & /*records*/)
{
    body.read("d", ask.dataCentre);
    body.read("e", ask.epoch);
    body.read("w", ask.workspace);
    body.read("t", ask.amount);
}

json write(const peer_loan_response &answer, const record_translator & /*records*/)
{
    return {{"e", answer.epoch.value()}, {"t", answer.amount.value()}, {"l", answer.loan}, {"d", answer.validFor.count()}};
}

void read(member_reader &body, peer_loan_response &answer, const record_translator & /*records*/)
{
    body.read("e", answer.epoch);
    body.read("t", answer.amount);
    body.read("l", answer.loan);
    body.read("d", answer.validFor);
}

json write(const loan_refund &refund, const record_translator & /*records*/)
{
    return {{"w", refund.workspace.value()}, {"t", refund.amount.value()}, {"l", refund.loan}, {"s", refund.sequence}};
}

void read(member_reader &body, loan_refund &refund, const record_translator & /*records*/)
{
    body.read("w", refund.workspace);
    body.read("t", refund.amount);
    body.read("l", refund.loan);
    body.read("s", refund.sequence);
}

json write(const peer_slot_request &ask, const record_translator & /*records*/)
{
    return {{"e", ask.epoch.value()}, {"n", ask.endpoint.value()}, {"r", ask.request.value()}};
}

void read(member_reader &body, peer_slot_request &ask, const record_translator & /*records*/)
{
    body.read("e", ask.epoch);
    body.read("n", ask.endpoint);
    body.read("r", ask.request);
}

json write(const peer_slot_response &answer, const record_translator & /*records*/)
{
    return {{"e", answer.epoch.value()}, {"g", answer.isGranted}, {"u", answer.used.value()}, {"l", answer.limit.value()}};
}

void read(member_reader &body, peer_slot_response &answer, const record_translator & /*records*/)
{
    body.read("e", answer.epoch);
    body.read("g", answer.isGranted);
    body.read("u", answer.used);
    body.read("l", answer.limit);
}

json write(const peer_slot_release &returned, const record_translator & /*records*/)
{
    return {{"n", returned.endpoint.value()},
            {"r", returned.request.value()},
            {"v", verdictNames.at(static_cast<std::size_t>(returned.verdict))}};
}

void read(member_reader &body, peer_slot_release &returned, const record_translator & /*records*/)
{
    std::string name;
    body.read("n", returned.endpoint);
    body.read("r", returned.request);
    body.read("v", name);
    for (std::size_t i = 0; i < verdictNames.size(); ++i) {
        if (verdictNames[i] == name) {
            returned.verdict = static_cast<attempt_verdict>(i);
            return;
        }
    }
    body.refuse("member 'v' is no verdict");
}

json write(const slot_holdings &holdings, const record_translator & /*records*/)
{
    json held = json::array();
    for (const auto &[endpoint, request] : holdings.held) {
        held.push_back(json::array({endpoint.value(), request.value()}));
    }
    return {{"e", holdings.epoch.value()}, {"h", std::move(held)}};
}

void read(member_reader &body, slot_holdings &holdings, const record_translator & /*records*/)
{
    body.read("e", holdings.epoch);
    for (const json &pair : body.elements("h")) {
        if (!pair.is_array() || pair.size() != 2 || !pair[0].is_string() || !pair[1].is_string()) {
            body.refuse("member 'h' holds something else than pairs of endpoint and request");
            return;
        }
        holdings.held.emplace_back(endpoint_id(pair[0].get<std::string>()), request_id(pair[1].get<std::string>()));
    }
}

// The text of a record is JSON already; as a nested value it needs no escapes.
json write(const record_relay &relay, const record_translator &records)
{
    json entries = json::array();
    for (const stored_record &stored : relay.records) {
        const translated_record text = records.encodeRecord(stored.record);
        entries.push_back(json::array({stored.offset.value(), stored.id.value(), text.kind, json::parse(text.body, nullptr, false)}));
    }
    return {{"r", std::move(entries)}};
}

void read(member_reader &body, record_relay &relay, const record_translator &records)
{
    for (const json &entry : body.elements("r")) {
        const bool isEntry =
            entry.is_array() && entry.size() == 4 && entry[0].is_number_integer() && entry[1].is_string() && entry[2].is_string();
        if (!isEntry || entry[0].get<std::int64_t>() < 0) {
            body.refuse("member 'r' holds something else than records");
            return;
        }
        auto record = records.decodeRecord(entry[2].get_ref<const std::string &>(), toText(entry[3]));
        if (!record) {
            body.refuse(std::move(record).error());
            return;
        }
        relay.records.push_back(
            {log_offset(entry[0].get<std::int64_t>()), record_id(entry[1].get<std::string>()), std::move(record).value()});
    }
}

json write(const peer_state_request &ask, const record_translator & /*records*/)
{
    return {{"c", ask.covered.value()}};
}

void read(member_reader &body, peer_state_request &ask, const record_translator & /*records*/)
{
    body.read("c", ask.covered, -1);
}

json write(const peer_pool_request &ask, const record_translator & /*records*/)
{
    return {{"w", ask.workspace.value()}, {"t", ask.cost.value()}};
}

void read(member_reader &body, peer_pool_request &ask, const record_translator & /*records*/)
{
    body.read("w", ask.workspace);
    body.read("t", ask.cost);
}

json write(const peer_pool_response &answer, const record_translator & /*records*/)
{
    return {{"h", answer.isHolder}, {"g", answer.isGranted}, {"r", answer.retryAfter.count()}};
}

void read(member_reader &body, peer_pool_response &answer, const record_translator & /*records*/)
{
    body.read("h", answer.isHolder);
    body.read("g", answer.isGranted);
    body.read("r", answer.retryAfter);
}

json write(const peer_pool_refund &returned, const record_translator & /*records*/)
{
    return {{"w", returned.workspace.value()}, {"t", returned.cost.value()}};
}

void read(member_reader &body, peer_pool_refund &returned, const record_translator & /*records*/)
{
    body.read("w", returned.workspace);
    body.read("t", returned.cost);
}

json write(const peer_records_request &ask, const record_translator & /*records*/)
{
    return {{"t", ask.topic.value()}, {"f", ask.from.value()}, {"w", ask.wait.count()}};
}

void read(member_reader &body, peer_records_request &ask, const record_translator & /*records*/)
{
    body.read("t", ask.topic);
    body.read("f", ask.from);
    body.read("w", ask.wait);
}

json write(const peer_records_response &answer, const record_translator & /*records*/)
{
    json entries = json::array();
    for (const relayed_record &record : answer.records) {
        entries.push_back(record.value ? json::array({record.key, *record.value}) : json::array({record.key}));
    }
    return {{"d", answer.isReader},
            {"g", answer.isTruncated},
            {"r", std::move(entries)},
            {"e", answer.end.value()},
            {"s", answer.resyncCount},
            {"a", answer.age.count()}};
}

void read(member_reader &body, peer_records_response &answer, const record_translator & /*records*/)
{
    body.read("d", answer.isReader);
    body.read("g", answer.isTruncated);
    body.read("e", answer.end);
    body.read("s", answer.resyncCount);
    body.read("a", answer.age);
    for (const json &entry : body.elements("r")) {
        const bool isEntry = entry.is_array() && !entry.empty() && entry.size() <= 2 && entry[0].is_string() && entry.back().is_string();
        if (!isEntry) {
            body.refuse("member 'r' holds something else than records");
            return;
        }
        relayed_record record = {entry[0].get<std::string>(), std::nullopt};
        if (entry.size() == 2) {
            record.value = entry[1].get<std::string>();
        }
        answer.records.push_back(std::move(record));
    }
}

json write(const acknowledgement &answer, const record_translator & /*records*/)
{
    return {{"k", answer.isAccepted}};
}

void read(member_reader &body, acknowledgement &answer, const record_translator & /*records*/)
{
    body.read("k", answer.isAccepted);
}

template<typename Message>
std::string encodeAs(const peer_message &message, const record_translator &records)
{
    return toText(write(std::get<Message>(message), records));
}

template<typename Message>
outcome<peer_message> decodeAs(std::string_view text, const record_translator &records)
{
    member_reader body(text);
    Message message;
    read(body, message, records);
    if (body.failure()) {
        return boost::outcome_v2::failure(*body.failure());
    }
    return peer_message(std::move(message));
}

// A snapshot is the whole body: it is the largest message, and wrapping it would copy it once more.
template<>
std::string encodeAs<peer_state_response>(const peer_message &message, const record_translator &records)
{
    return records.encodeSnapshot(std::get<peer_state_response>(message).state);
}

template<>
outcome<peer_message> decodeAs<peer_state_response>(std::string_view text, const record_translator &records)
{
    BOOST_OUTCOME_TRY(state, records.decodeSnapshot(text));
    return peer_message(peer_state_response {std::move(state)});
}

struct kind_entry
{
    std::string_view kind;
    std::string (*encode)(const peer_message &message, const record_translator &records);
    outcome<peer_message> (*decode)(std::string_view text, const record_translator &records);
};

template<typename Message>
constexpr kind_entry entryOf(std::string_view kind)
{
    return {kind, &encodeAs<Message>, &decodeAs<Message>};
}

// In the order of the alternatives of peer_message.
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
    entryOf<acknowledgement>("acknowledgement"),
};

error_code codeByName(std::string_view name)
{
    for (int code = 0; code <= static_cast<int>(error_code::internal); ++code) {
        if (errorCodeName(static_cast<error_code>(code)) == name) {
            return static_cast<error_code>(code);
        }
    }
    return error_code::internal;
}

} // namespace

peer_codec::peer_codec(record_translator records)
    : m_records(records)
{
}

encoded_peer_message peer_codec::encode(const peer_message &message) const
{
    const kind_entry &entry = kinds.at(message.index());
    return {std::string(entry.kind), entry.encode(message, m_records)};
}

outcome<peer_message> peer_codec::decode(std::string_view kind, std::string_view body) const
{
    for (const kind_entry &entry : kinds) {
        if (entry.kind == kind) {
            return entry.decode(body, m_records);
        }
    }
    return failure(error_code::unsupported, "the kind of the message is unknown");
}

std::string peer_codec::encodeHello(const peer_hello &hello) const
{
    return toText({{"i", hello.instance.value()}, {"n", hello.incarnation.value()}, {"d", hello.dataCentre.value()}});
}

outcome<peer_hello> peer_codec::decodeHello(std::string_view body) const
{
    member_reader members(body);
    peer_hello hello;
    members.read("i", hello.instance);
    members.read("n", hello.incarnation);
    members.read("d", hello.dataCentre);
    if (members.failure()) {
        return boost::outcome_v2::failure(*members.failure());
    }
    if (hello.instance.isEmpty() || hello.incarnation.isEmpty()) {
        return boost::outcome_v2::failure(invalid("the hello names no instance or no incarnation"));
    }
    return hello;
}

std::string peer_codec::encodeError(const error &refusal) const
{
    return toText({{"c", errorCodeName(refusal.code)}, {"m", refusal.message}});
}

error peer_codec::decodeError(std::string_view body) const
{
    member_reader members(body);
    std::string name;
    error refusal;
    members.read("c", name);
    members.read("m", refusal.message);
    if (members.failure()) {
        return *members.failure();
    }
    refusal.code = codeByName(name);
    return refusal;
}

} // namespace burdockshelf
