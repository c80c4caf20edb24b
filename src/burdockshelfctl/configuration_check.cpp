#include "burdockshelfctl/configuration_check.h"

#include "burdockshelfctl/answer_text.h"

#include <functional>

namespace burdockshelf
{

namespace
{

using findings = std::vector<finding>;

template<typename Map>
std::string known(const Map &entries)
{
    std::string list;
    for (const auto &[id, settings] : entries) {
        list += (list.empty() ? "" : ", ") + id.value();
    }
    return list.empty() ? "none is given" : list;
}

std::string quote(const std::string &text)
{
    return "\"" + text + "\"";
}

template<typename Map>
void checkNames(const Map &entries, const std::string &section, findings &faults)
{
    for (const auto &[id, settings] : entries) {
        if (!isPlainName(id.value())) {
            faults.push_back({section, "the name " + quote(id.value()), "1 to 64 lower-case letters, digits, '.', '_' and '-'"});
        }
    }
}

void checkAllNames(const configuration &config, findings &faults)
{
    checkNames(config.dataCentres, "/data_centres", faults);
    checkNames(config.workspaces, "/workspaces", faults);
    checkNames(config.services, "/services", faults);
    checkNames(config.endpoints, "/endpoints", faults);
    checkNames(config.urgencyClasses, "/urgency_classes", faults);
}

void checkWorkspaces(const configuration &config, findings &faults)
{
    for (const auto &[id, settings] : config.workspaces) {
        const std::string pointer = "/workspaces/" + id.value();
        if (settings.rate < token_rate(1)) {
            faults.push_back({pointer + "/rate_tokens_per_s", std::to_string(settings.rate.value()), "a number from 1"});
        }
        if (settings.burst < token_count(1)) {
            faults.push_back({pointer + "/burst_tokens", std::to_string(settings.burst.value()), "a number from 1"});
        }
        for (const auto &[dataCentre, weight] : settings.shareWeights) {
            if (!config.dataCentres.contains(dataCentre)) {
                faults.push_back({pointer + "/share_weights", quote(dataCentre.value()), "a data centre: " + known(config.dataCentres)});
            }
        }
    }
}

/// Whether an endpoint of that role runs the service.
bool hasEndpoint(const configuration &config, const service_id &service, endpoint_role role)
{
    for (const auto &[id, settings] : config.endpoints) {
        if (settings.service == service && settings.role == role) {
            return true;
        }
    }
    return false;
}

void checkEndpointsOf(const configuration &config, const service_id &id, endpoint_role role, findings &faults)
{
    if (!hasEndpoint(config, id, role)) {
        faults.push_back({"/services/" + id.value(),
                          "no endpoint with the role " + std::string(endpointRoleName(role)),
                          "at least one, or nothing can answer its calls"});
    }
}

void checkModel(const configuration &config, const service_id &id, const service_settings &settings, findings &faults)
{
    if (!settings.pathPrefix.empty()) {
        faults.push_back(
            {"/services/" + id.value() + "/path_prefix", quote(settings.pathPrefix), "no path, because callers name the model"});
    }
    checkEndpointsOf(config, id, endpoint_role::prefill, faults);
    checkEndpointsOf(config, id, endpoint_role::decode, faults);
}

/// Paths of model calls and of resumed streams, which no plain service may take over.
constexpr std::string_view modelPaths = "/v1/";

void checkPlain(const configuration &config, const service_id &id, const service_settings &settings, findings &faults)
{
    const std::string pointer = "/services/" + id.value() + "/path_prefix";
    if (!isPathPrefix(settings.pathPrefix)) {
        faults.push_back({pointer, quote(settings.pathPrefix), "a path that begins with '/', for example /bookings"});
    } else if ((settings.pathPrefix + "/").starts_with(modelPaths)) {
        faults.push_back({pointer, quote(settings.pathPrefix), "a path outside /v1/, which is kept for model calls"});
    }
    for (const auto &[other, otherSettings] : config.services) {
        if (other < id && otherSettings.kind == service_kind::plain && otherSettings.pathPrefix == settings.pathPrefix) {
            faults.push_back({pointer, quote(settings.pathPrefix) + ", which " + other.value() + " has too", "a path of its own"});
        }
    }
    checkEndpointsOf(config, id, endpoint_role::plain, faults);
}

void checkServices(const configuration &config, findings &faults)
{
    for (const auto &[id, settings] : config.services) {
        if (!config.urgencyClasses.contains(settings.defaultUrgency)) {
            faults.push_back({"/services/" + id.value() + "/default_urgency",
                              quote(settings.defaultUrgency.value()),
                              "an urgency class: " + known(config.urgencyClasses)});
        }
        const auto check = settings.kind == service_kind::model ? &checkModel : &checkPlain;
        check(config, id, settings, faults);
    }
}

bool isRoleOf(service_kind kind, endpoint_role role)
{
    return (kind == service_kind::plain) == (role == endpoint_role::plain);
}

void checkEndpoint(const configuration &config, const std::string &pointer, const endpoint_settings &settings, findings &faults)
{
    const auto service = config.services.find(settings.service);
    if (service == config.services.end()) {
        faults.push_back({pointer + "/service", quote(settings.service.value()), "a service: " + known(config.services)});
    } else if (!isRoleOf(service->second.kind, settings.role)) {
        faults.push_back({pointer + "/role",
                          quote(std::string(endpointRoleName(settings.role))),
                          service->second.kind == service_kind::model ? "prefill or decode, because the service is a model"
                                                                      : "plain, because the service is a plain one"});
    }
    if (!config.dataCentres.contains(settings.dataCentre)) {
        faults.push_back({pointer + "/data_centre", quote(settings.dataCentre.value()), "a data centre: " + known(config.dataCentres)});
    }
    if (settings.slots < slot_count(1)) {
        faults.push_back({pointer + "/slots", std::to_string(settings.slots.value()), "a number from 1"});
    }
}

void checkEndpoints(const configuration &config, findings &faults)
{
    std::map<socket_address, endpoint_id> users;
    for (const auto &[id, settings] : config.endpoints) {
        const std::string pointer = "/endpoints/" + id.value();
        checkEndpoint(config, pointer, settings, faults);
        const auto [user, isFirst] = users.emplace(settings.address, id);
        if (!isFirst) {
            faults.push_back({pointer + "/address",
                              settings.address.toString() + ", which " + user->second.value() + " has too",
                              "an address of its own"});
        }
    }
}

} // namespace

std::vector<finding> checkConfiguration(const configuration &config)
{
    findings faults;
    checkAllNames(config, faults);
    checkWorkspaces(config, faults);
    checkServices(config, faults);
    checkEndpoints(config, faults);
    return faults;
}

} // namespace burdockshelf
