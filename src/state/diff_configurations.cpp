#include "state/diff_configurations.h"

namespace burdockshelf
{

namespace
{

template<typename Key, typename Value>
std::map<Key, std::optional<Value>> diffEntries(const std::map<Key, Value> &from, const std::map<Key, Value> &to)
{
    std::map<Key, std::optional<Value>> changes;
    for (const auto &[key, value] : from) {
        if (!to.contains(key)) {
            changes.emplace(key, std::nullopt);
        }
    }
    for (const auto &[key, value] : to) {
        const auto old = from.find(key);
        if (old == from.end() || old->second != value) {
            changes.emplace(key, value);
        }
    }
    return changes;
}

} // namespace

configuration_change diffConfigurations(const configuration &from, const configuration &to)
{
    configuration_change change;
    change.base = from.version;
    change.dataCentres = diffEntries(from.dataCentres, to.dataCentres);
    change.workspaces = diffEntries(from.workspaces, to.workspaces);
    change.services = diffEntries(from.services, to.services);
    change.endpoints = diffEntries(from.endpoints, to.endpoints);
    change.urgencyClasses = diffEntries(from.urgencyClasses, to.urgencyClasses);
    return change;
}

bool isEmpty(const configuration_change &change)
{
    return change.dataCentres.empty() && change.workspaces.empty() && change.services.empty() && change.endpoints.empty()
        && change.urgencyClasses.empty();
}

} // namespace burdockshelf
