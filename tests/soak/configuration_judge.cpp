#include "configuration_judge.h"

#include <algorithm>
#include <utility>

namespace burdockshelf
{

namespace
{

using std::chrono::milliseconds;

// A gateway is judged once it has been undisturbed for this long.
constexpr milliseconds contactTime {3000};
// How much later a change is in force after a fault of the store.
constexpr milliseconds storeFaultAllowance {5000};
// A request that is sent later than this after a gateway has shown a version must not be handled as an older one allows.
constexpr milliseconds regressTolerance {500};
// What a fault takes to begin and to end on a busy machine.
constexpr milliseconds faultMargin {200};
constexpr int statusUnauthorized = 401;
constexpr int statusForbidden = 403;
constexpr int statusNotFound = 404;

bool isRefusal(int status)
{
    return status == statusUnauthorized || status == statusForbidden || status == statusNotFound;
}

} // namespace

void configuration_judge::noteConfiguration(const soak_configuration &stored, instant now)
{
    m_configurations.push_back({stored, now});
}

void configuration_judge::noteLeaving(const std::string &endpoint, instant now)
{
    m_leavingSince[endpoint] = now;
}

void configuration_judge::noteReturn(const std::string &endpoint)
{
    m_leavingSince.erase(endpoint);
}

void configuration_judge::noteStoreFault(instant from, instant to)
{
    m_storeFaults.push_back({from, to + faultMargin});
}

void configuration_judge::noteGatewayFault(std::size_t gateway, instant from, instant to)
{
    m_gatewayFaults[gateway].push_back({from, to + faultMargin});
}

void configuration_judge::noteRestart(std::size_t gateway, instant now)
{
    m_restarts[gateway].push_back(now);
}

void configuration_judge::noteEndpointFault(const std::string &endpoint, instant from, instant to)
{
    m_endpointFaults[endpoint].push_back({from, to + faultMargin});
}

void configuration_judge::noteCall(const soak_endpoint &endpoint, const soak_request &request, bool isRun, instant now)
{
    if (isRun && request.kind == soak_kind::moved) {
        m_runs[request.id].push_back({nullptr, endpoint.service, now});
    }
    const auto leaving = m_leavingSince.find(endpoint.id);
    if (leaving != m_leavingSince.end() && now - leaving->second > soak_site::drainTime) {
        m_lateCalls.push_back({endpoint.id, request.id, request.gateway, leaving->second, now});
    }
}

std::vector<std::string> configuration_judge::judge(const std::map<std::string, soak_request> &requests)
{
    std::vector<handling> handled;
    for (const auto &[id, request] : requests) {
        if (isRefusal(request.status)) {
            handled.push_back({&request, {}, request.endedAt});
        }
        const auto runs = m_runs.find(id);
        if (runs != m_runs.end()) {
            for (const handling &run : runs->second) {
                handled.push_back({&request, run.service, run.at});
            }
        }
    }
    std::sort(handled.begin(), handled.end(), [](const handling &left, const handling &right) { return left.at < right.at; });
    for (const handling &one : handled) {
        if (one.request->kind == soak_kind::moved) {
            judgeAge(one);
            judgeRegress(one);
        } else if (one.request->key == "k1") {
            m_findings.push_back(describe(one) + ", which every version allows");
        }
    }
    for (const late_call &call : m_lateCalls) {
        judgeCall(call);
    }
    return std::exchange(m_findings, {});
}

std::size_t configuration_judge::judgedCount() const
{
    return m_judged;
}

bool configuration_judge::overlaps(const std::vector<period> &periods, instant from, instant to)
{
    return std::any_of(periods.begin(), periods.end(), [&](const period &one) { return one.from <= to && from <= one.to; });
}

std::optional<instant> configuration_judge::binding(std::size_t gateway, instant sentAt, instant endedAt) const
{
    const auto faults = m_gatewayFaults.find(gateway);
    const bool isDisturbed = faults != m_gatewayFaults.end() && overlaps(faults->second, sentAt - contactTime, endedAt);
    if (isDisturbed || overlaps(m_storeFaults, sentAt, endedAt)) {
        return std::nullopt;
    }
    const bool hadStoreFault = overlaps(m_storeFaults, sentAt - contactTime, sentAt);
    return sentAt - soak_site::configurationTime - (hadStoreFault ? storeFaultAllowance : milliseconds::zero());
}

bool configuration_judge::allows(const soak_configuration &version, const handling &seen)
{
    const auto &keys = version.movedKeys;
    const bool hasKey = std::find(keys.begin(), keys.end(), seen.request->key) != keys.end();
    if (seen.service.empty()) {
        return !hasKey && seen.request->status == statusUnauthorized;
    }
    return hasKey && version.movedService == seen.service;
}

void configuration_judge::judgeAge(const handling &seen)
{
    const std::optional<instant> bindingSince = binding(seen.request->gateway, seen.request->sentAt, seen.at);
    if (!bindingSince) {
        return;
    }
    // Versions that may be in force: the newest one that binds, and all later ones that were stored before the request was handled.
    bool isAllowed = false;
    const stored_configuration *binds = nullptr;
    for (const stored_configuration &one : m_configurations) {
        if (one.at > seen.at) {
            break;
        }
        if (one.at <= *bindingSince) {
            binds = &one;
            isAllowed = false;
        }
        isAllowed = isAllowed || allows(one.value, seen);
    }
    m_judged += binds != nullptr ? 1 : 0;
    if (binds != nullptr && !isAllowed) {
        const auto age = std::chrono::floor<milliseconds>(seen.request->sentAt - binds->at);
        m_findings.push_back(describe(seen) + ", which only versions before " + std::to_string(binds->value.version) + " allow, stored "
                             + std::to_string(age.count()) + " ms before it was sent");
    }
}

void configuration_judge::judgeRegress(const handling &seen)
{
    shown_version &shown = m_shown[seen.request->gateway];
    const std::vector<instant> &restarts = m_restarts[seen.request->gateway];
    if (std::any_of(restarts.begin(), restarts.end(), [&](instant at) { return shown.at < at && at <= seen.at; })) {
        shown = {0, seen.at};
    }
    std::optional<std::int64_t> oldest;
    std::int64_t newest = 0;
    for (const stored_configuration &one : m_configurations) {
        if (one.at <= seen.at && allows(one.value, seen)) {
            oldest = oldest.value_or(one.value.version);
            newest = one.value.version;
        }
    }
    if (!oldest) {
        return;
    }
    if (newest < shown.version && seen.request->sentAt > shown.at + regressTolerance) {
        m_findings.push_back(describe(seen) + ", which only version " + std::to_string(newest) + " or older allows; the gateway had shown "
                             + std::to_string(shown.version));
    }
    if (*oldest > shown.version) {
        shown = {*oldest, seen.at};
    }
}

void configuration_judge::judgeCall(const late_call &call)
{
    const auto faults = m_endpointFaults.find(call.endpoint);
    const bool isHeldUp = faults != m_endpointFaults.end() && overlaps(faults->second, call.at - contactTime, call.at);
    const std::optional<instant> bindingSince = binding(call.gateway, call.at, call.at);
    if (isHeldUp || !bindingSince || call.leftAt > *bindingSince) {
        return;
    }
    const auto age = std::chrono::floor<milliseconds>(call.at - call.leftAt);
    m_findings.push_back(call.request + " of gateway " + std::to_string(call.gateway) + " reached " + call.endpoint
                         + ", whose leaving was stored " + std::to_string(age.count()) + " ms before");
}

std::string configuration_judge::describe(const handling &seen) const
{
    const std::string done = seen.service.empty() ? "was answered " + std::to_string(seen.request->status) : "ran at " + seen.service;
    return seen.request->id + " with " + seen.request->key + " at gateway " + std::to_string(seen.request->gateway) + " " + done;
}

} // namespace burdockshelf
