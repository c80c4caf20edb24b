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
    const bool isComplete = parsed.is_object() && hasString(parsed, "instance") && hasString(parsed, "data_centre")
        && hasInteger(parsed, "covered_offset") && hasInteger(parsed, "configuration_version");
    if (!isComplete) {
        return failure(error_code::unavailable, "/status: the answer is not that of an instance");
    }
    instance_status status;
    status.instance = instance_id(parsed["instance"].get<std::string>());
    status.dataCentre = data_centre_id(parsed["data_centre"].get<std::string>());
    status.covered = log_offset(parsed["covered_offset"].get<std::int64_t>());
    status.version = configuration_version(parsed["configuration_version"].get<std::int64_t>());
    status.whole = std::move(parsed);
    return status;
}

} // namespace burdockshelf
