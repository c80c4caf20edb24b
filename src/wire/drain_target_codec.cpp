#include "wire/drain_target_codec.h"

#include <array>

namespace burdockshelf
{

namespace
{

enum class target_kind
{
    data_centre,
    instance,
    endpoint,
};

constexpr std::array targetKinds = {
    enum_name<target_kind> {target_kind::data_centre, "data_centre"},
    enum_name<target_kind> {target_kind::instance, "instance"},
    enum_name<target_kind> {target_kind::endpoint, "endpoint"},
};

struct target_kind_visitor
{
    target_kind operator()(const data_centre_id & /*id*/) const
    {
        return target_kind::data_centre;
    }

    target_kind operator()(const instance_id & /*id*/) const
    {
        return target_kind::instance;
    }

    target_kind operator()(const endpoint_id & /*id*/) const
    {
        return target_kind::endpoint;
    }
};

} // namespace

void writeDrainTarget(json_writer &writer, const drain_target &target)
{
    writer.set("target_kind", enumName(std::visit(target_kind_visitor {}, target), targetKinds));
    std::visit([&writer](const auto &id) { writer.set("target", id); }, target);
}

drain_target readDrainTarget(json_reader &reader)
{
    switch (reader.enumeration("target_kind", targetKinds)) {
    case target_kind::data_centre:
        return reader.id<data_centre_id>("target");
    case target_kind::instance:
        return reader.id<instance_id>("target");
    case target_kind::endpoint:
        return reader.id<endpoint_id>("target");
    }
    return {};
}

} // namespace burdockshelf
