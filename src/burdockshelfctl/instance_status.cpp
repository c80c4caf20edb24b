#include "burdockshelfctl/instance_status.h"

namespace burdockshelf
{

namespace
{

using nlohmann::json;

bool hasString(const json &object, const char *key)
{
    return object.contains(key) && object[key].is_string();
}

bool hasInteger(const json &object, const char *key)
{
    return object.contains(key) && object[key].is_number_integer();
}

} // namespace

outcome<instance_status> decodeInstanceStatus(std::string_view text)
{
    json parsed = json::parse(text, nullptr, false);
    const json identity = parsed.is_object() ? parsed.value("identity", json()) : json();
    const json configuration = parsed.is_object() ? parsed.value("configuration", json()) : json();
    const bool isComplete = hasString(identity, "instance") && hasString(identity, "data_centre") && hasInteger(configuration, "covered")
        && hasInteger(configuration, "version");
    if (!isComplete) {
        return failure(error_code::unavailable, "/status: the answer is not that of an instance");
    }
    instance_status status;
    status.instance = instance_id(identity["instance"].get<std::string>());
    status.dataCentre = data_centre_id(identity["data_centre"].get<std::string>());
    status.covered = log_offset(configuration["covered"].get<std::int64_t>());
    status.version = configuration_version(configuration["version"].get<std::int64_t>());
    status.whole = std::move(parsed);
    return status;
}

} // namespace burdockshelf
