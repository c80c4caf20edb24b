#include "load/scenario.h"

#include "wire/json_reader.h"

#include <fstream>
#include <iterator>

#include <boost/outcome/try.hpp>

namespace burdockshelf
{

namespace
{

using make_plan = site_plan (*)();

constexpr std::array planNames = {
    enum_name<make_plan> {&site_plan::kavakli, "kavakli"},
    enum_name<make_plan> {&site_plan::cascadia, "cascadia"},
    enum_name<make_plan> {&site_plan::small, "small"},
};

constexpr std::array faultNames = {
    enum_name<fault_kind> {fault_kind::drain_data_centre, "drain_data_centre"},
    enum_name<fault_kind> {fault_kind::return_data_centre, "return_data_centre"},
    enum_name<fault_kind> {fault_kind::kill_instance, "kill_instance"},
    enum_name<fault_kind> {fault_kind::restart_instance, "restart_instance"},
    enum_name<fault_kind> {fault_kind::cool_engine, "cool_engine"},
    enum_name<fault_kind> {fault_kind::begin_platform_outage, "begin_platform_outage"},
    enum_name<fault_kind> {fault_kind::end_platform_outage, "end_platform_outage"},
    enum_name<fault_kind> {fault_kind::stall_link, "stall_link"},
    enum_name<fault_kind> {fault_kind::release_link, "release_link"},
};

std::chrono::milliseconds readTime(json_reader &reader, std::string_view key)
{
    return std::chrono::milliseconds(reader.integer(key));
}

traffic_shape readShape(json_reader reader)
{
    traffic_shape shape;
    shape.weight = reader.integer("weight", {1, 1000});
    shape.prompt = reader.amount<token_count>("prompt_tokens", {1, 100000});
    shape.output = reader.amount<token_count>("output_tokens", {1, 100000});
    shape.urgency = reader.id<urgency_class_id>("urgency");
    shape.firstTokenWithin = readTime(reader, "first_token_within_ms");
    shape.betweenTokensWithin = readTime(reader, "between_tokens_within_ms");
    return shape;
}

workspace_load readWorkspace(json_reader reader)
{
    workspace_load load;
    load.workspace = reader.id<workspace_id>("name");
    load.requestsPerMinute = reader.integer("requests_per_minute", {0, 1000000});
    load.isWellBehaved = reader.booleanOr("is_well_behaved", true);
    return load;
}

void readBurst(json_reader &reader, site_plan &plan)
{
    const std::int64_t seconds = reader.integerOr("burst_seconds", 2, {1, 3600});
    for (workspace_plan &workspace : plan.workspaces) {
        workspace.burstTokens = workspace.tokensPerSecond * seconds;
    }
}

planned_fault readFault(json_reader reader)
{
    planned_fault fault;
    fault.at = readTime(reader, "at_ms");
    fault.kind = reader.enumeration("kind", faultNames);
    fault.target = reader.textOr("target", "");
    return fault;
}

} // namespace

outcome<scenario> readScenario(const std::string &file)
{
    std::ifstream stream(file, std::ios::binary);
    const std::string text((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    BOOST_OUTCOME_TRY(reader, json_reader::parse(text, error_code::invalid_settings));
    scenario read;
    read.name = reader.nonEmptyText("name");
    read.deployment = reader.enumeration("site", planNames)();
    read.timeScaleHundredths = reader.integerOr("time_scale_hundredths", read.timeScaleHundredths, {1, 10000});
    read.deployment.promptBytesPerToken =
        static_cast<int>(reader.integerOr("prompt_bytes_per_token", read.deployment.promptBytesPerToken, {1, 16}));
    readBurst(reader, read.deployment);
    read.load.duration = readTime(reader, "duration_ms");
    for (json_reader &shape : reader.objects("shapes")) {
        read.load.shapes.push_back(readShape(shape));
    }
    for (json_reader &workspace : reader.objects("workspaces")) {
        read.load.workspaces.push_back(readWorkspace(workspace));
    }
    if (reader.has("faults")) {
        for (json_reader &fault : reader.objects("faults")) {
            read.faults.push_back(readFault(fault));
        }
    }
    BOOST_OUTCOME_TRYV(reader.finish());
    const auto hundredths = std::to_string(read.timeScaleHundredths % 100);
    read.deployment.engineArguments.push_back("--time-scale");
    read.deployment.engineArguments.push_back(std::to_string(read.timeScaleHundredths / 100) + "." + std::string(2 - hundredths.size(), '0')
                                              + hundredths);
    return read;
}

} // namespace burdockshelf
