#include "standins/platform/platform_control.h"

#include "wire/json_reader.h"

namespace burdockshelf
{

namespace
{

constexpr std::array overrideNames = {
    enum_name<list_override> {list_override::none, "none"},
    enum_name<list_override> {list_override::gone, "gone"},
    enum_name<list_override> {list_override::leaving, "leaving"},
};

std::optional<bool> optionalBoolean(json_reader &reader, std::string_view key)
{
    return reader.has(key) ? std::optional(reader.boolean(key)) : std::nullopt;
}

std::optional<std::int64_t> optionalNumber(json_reader &reader, std::string_view key)
{
    return reader.has(key) ? std::optional(reader.integer(key)) : std::nullopt;
}

std::optional<std::chrono::milliseconds> optionalTime(json_reader &reader, std::string_view key)
{
    const auto number = optionalNumber(reader, key);
    return number ? std::optional(std::chrono::milliseconds(*number)) : std::nullopt;
}

} // namespace

outcome<platform_control> decodePlatformControl(std::string_view text)
{
    BOOST_OUTCOME_TRY(reader, json_reader::parse(text));
    platform_control control;
    control.hasOutage = optionalBoolean(reader, "outage");
    control.hasListOutage = optionalBoolean(reader, "list_outage");
    control.readDelay = optionalTime(reader, "read_delay_ms");
    control.appendDelay = optionalTime(reader, "append_delay_ms");
    control.lostAppendReplies = optionalNumber(reader, "lose_append_replies");
    control.listLag = optionalTime(reader, "list_lag_ms");
    control.keptRecords = optionalNumber(reader, "keep_records");
    if (reader.has("instances")) {
        json_reader instances = reader.object("instances");
        for (const std::string &name : instances.names()) {
            control.overrides[instance_id(name)] = instances.enumeration(name, overrideNames);
        }
    }
    BOOST_OUTCOME_TRYV(reader.finish());
    return control;
}

} // namespace burdockshelf
