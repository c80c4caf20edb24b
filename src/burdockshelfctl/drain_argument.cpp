#include "burdockshelfctl/drain_argument.h"

#include <string_view>

namespace burdockshelf
{

namespace
{

bool isKnownDataCentre(const std::string &name, const configuration &config)
{
    return config.dataCentres.contains(data_centre_id(name));
}

bool isKnownEndpoint(const std::string &name, const configuration &config)
{
    return config.endpoints.contains(endpoint_id(name));
}

bool isInstanceName(const std::string &name, const configuration & /*config*/)
{
    return !name.empty();
}

template<typename Id>
drain_target makeTarget(const std::string &name)
{
    return Id(name);
}

auto unknownTarget(const std::string &kind, const std::string &name)
{
    return failure(error_code::not_found, "there is no " + kind + " " + name + " in the configuration in force");
}

struct target_kind
{
    std::string_view word;
    bool (*isKnown)(const std::string &name, const configuration &config);
    drain_target (*make)(const std::string &name);
};

constexpr target_kind targetKinds[] = {
    {"data-centre", &isKnownDataCentre, &makeTarget<data_centre_id>},
    {"instance", &isInstanceName, &makeTarget<instance_id>},
    {"endpoint", &isKnownEndpoint, &makeTarget<endpoint_id>},
};

} // namespace

outcome<drain_target> parseDrainTarget(const std::string &kind, const std::string &name, const configuration &config)
{
    for (const target_kind &entry : targetKinds) {
        if (entry.word != kind) {
            continue;
        }
        if (!entry.isKnown(name, config)) {
            return unknownTarget(kind, name);
        }
        return entry.make(name);
    }
    return failure(error_code::invalid_argument, "'" + kind + "' is none of data-centre, instance and endpoint");
}

} // namespace burdockshelf
