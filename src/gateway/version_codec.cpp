#include "gateway/version_codec.h"

#include "wire/json_limits.h"

#include <nlohmann/json.hpp>

namespace burdockshelf
{

namespace
{

using nlohmann::json;

std::string dump(const json &value)
{
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

void addStreams(const service_id &service, const std::string &version, const json &attempts, std::vector<open_stream> &to)
{
    for (const json &attempt : attempts) {
        if (attempt.is_string()) {
            to.push_back({attempt_id(attempt.get<std::string>()), {service, service_version(version)}});
        }
    }
}

} // namespace

std::string encodeVersions(const std::set<service_version> &versions)
{
    json names = json::array();
    for (const service_version &version : versions) {
        names.push_back(version.value());
    }
    return dump({{"versions", std::move(names)}});
}

outcome<std::set<service_version>> decodeVersions(std::string_view text)
{
    const json parsed = parseWithin(text, messageLimits);
    if (!parsed.is_object() || !parsed.contains("versions") || !parsed["versions"].is_array()) {
        return failure(error_code::invalid_message, "not a record of versions");
    }
    std::set<service_version> versions;
    for (const json &name : parsed["versions"]) {
        if (!name.is_string()) {
            return failure(error_code::invalid_message, "a version is not a string");
        }
        versions.emplace(name.get<std::string>());
    }
    return versions;
}

std::string encodeOpenStreams(const std::vector<open_stream> &streams)
{
    json grouped = json::object();
    for (const open_stream &stream : streams) {
        grouped[stream.origin.service.value()][stream.origin.version.value()].push_back(stream.attempt.value());
    }
    return dump({{"streams", std::move(grouped)}});
}

outcome<std::vector<open_stream>> decodeOpenStreams(std::string_view text)
{
    const json parsed = parseWithin(text, messageLimits);
    if (!parsed.is_object() || !parsed.contains("streams") || !parsed["streams"].is_object()) {
        return failure(error_code::invalid_message, "not a record of open streams");
    }
    std::vector<open_stream> streams;
    for (const auto &[service, versions] : parsed["streams"].items()) {
        if (!versions.is_object()) {
            continue;
        }
        for (const auto &[version, attempts] : versions.items()) {
            addStreams(service_id(service), version, attempts, streams);
        }
    }
    return streams;
}

} // namespace burdockshelf
