#include "state/find_dangling_reference.h"

namespace burdockshelf
{

namespace
{

using optional_reference = std::optional<dangling_reference>;

optional_reference findInServices(const configuration &config)
{
    for (const auto &[id, service] : config.services) {
        if (!config.urgencyClasses.contains(service.defaultUrgency)) {
            return dangling_reference {"services", id.value(), "default_urgency", service.defaultUrgency.value(), "urgency_classes"};
        }
    }
    return std::nullopt;
}

optional_reference findInEndpoints(const configuration &config)
{
    for (const auto &[id, endpoint] : config.endpoints) {
        if (!config.services.contains(endpoint.service)) {
            return dangling_reference {"endpoints", id.value(), "service", endpoint.service.value(), "services"};
        }
        if (!config.dataCentres.contains(endpoint.dataCentre)) {
            return dangling_reference {"endpoints", id.value(), "data_centre", endpoint.dataCentre.value(), "data_centres"};
        }
    }
    return std::nullopt;
}

optional_reference findInWorkspaces(const configuration &config)
{
    for (const auto &[id, workspace] : config.workspaces) {
        for (const auto &[dataCentre, weight] : workspace.shareWeights) {
            if (!config.dataCentres.contains(dataCentre)) {
                return dangling_reference {"workspaces", id.value(), "share_weights", dataCentre.value(), "data_centres"};
            }
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<dangling_reference> findDanglingReference(const configuration &config)
{
    for (const auto find : {&findInServices, &findInEndpoints, &findInWorkspaces}) {
        if (optional_reference found = find(config)) {
            return found;
        }
    }
    return std::nullopt;
}

} // namespace burdockshelf
