#include "wire/gateway_message_codec.h"

#include "wire/bytes_codec.h"

#include <optional>
#include <string>
#include <utility>

namespace burdockshelf
{

using json = nlohmann::json;

namespace
{

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

// Older builds do not send the era.
void writeEra(json &message, const std::optional<relayed_era> &era)
{
    if (era) {
        message["o"] = json::array({era->value()});
    }
}

std::optional<relayed_era> readEra(member_reader &body)
{
    const auto numbers = body.optionalNumbers<1>("o");
    return numbers ? std::optional(relayed_era(numbers->front())) : std::nullopt;
}

} // namespace

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
    json message = {{"t", request.topic.value()}, {"f", request.from.value()}, {"w", request.wait.count()}};
    writeEra(message, request.era);
    return message;
}

void read(member_reader &body, peer_records_request &request, const record_codec_table & /*records*/)
{
    body.read("t", request.topic);
    body.read("f", request.from);
    body.read("w", request.wait);
    request.era = readEra(body);
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
    json message = {{"d", response.isReader},
                    {"g", response.isTruncated},
                    {"r", std::move(entries)},
                    {"e", response.end.value()},
                    {"s", response.resyncCount},
                    {"t", response.sinceResync.count()},
                    {"a", response.age.count()}};
    writeEra(message, response.era);
    return message;
}

void read(member_reader &body, peer_records_response &response, const record_codec_table & /*records*/)
{
    body.read("d", response.isReader);
    body.read("g", response.isTruncated);
    body.read("e", response.end);
    body.read("s", response.resyncCount);
    body.read("t", response.sinceResync);
    body.read("a", response.age);
    response.era = readEra(body);
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

json write(const peer_stream_lookup &lookup, const record_codec_table & /*records*/)
{
    json services = json::array();
    for (const service_id &service : lookup.services) {
        services.push_back(service.value());
    }
    // The id is chosen by a caller.
    return {{"a", json::array({encodeBytes(lookup.stream.value())})}, {"s", std::move(services)}};
}

void read(member_reader &body, peer_stream_lookup &lookup, const record_codec_table & /*records*/)
{
    const json &ids = body.elements("a");
    const std::optional<std::string> id = ids.size() == 1 ? decodeBytes(ids.front()) : std::nullopt;
    if (!id) {
        body.reject("member 'a' must contain one id");
        return;
    }
    lookup.stream = attempt_id(*id);
    for (const json &service : body.elements("s")) {
        if (!service.is_string()) {
            body.reject("member 's' must contain only names");
            return;
        }
        lookup.services.emplace_back(service.get<std::string>());
    }
}

json write(const peer_stream_origin &origin, const record_codec_table & /*records*/)
{
    return {{"s", origin.service.value()}, {"v", origin.version.value()}, {"c", origin.isCertain}};
}

void read(member_reader &body, peer_stream_origin &origin, const record_codec_table & /*records*/)
{
    body.read("s", origin.service);
    body.read("v", origin.version);
    body.read("c", origin.isCertain);
}

json write(const peer_open_streams &message, const record_codec_table & /*records*/)
{
    return {{"v", message.record}};
}

void read(member_reader &body, peer_open_streams &message, const record_codec_table & /*records*/)
{
    body.read("v", message.record);
}

} // namespace burdockshelf
