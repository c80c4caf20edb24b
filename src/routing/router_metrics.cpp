#include "routing/router_metrics.h"

#include <utility>

namespace burdockshelf
{

namespace
{

constexpr int firstServerError = 500;

metric_label serviceLabel(const service_id &service)
{
    return {"service", service.value()};
}

} // namespace

void router_metrics::noteModelAnswer(const service_id &service, const service_level &level, instant now)
{
    countRequest(service, "answered");
    m_latencies.push_back({{"time_to_first_token_seconds", {serviceLabel(service)}}, level.timeToFirstToken(now)});
    if (const auto between = level.timeBetweenTokens()) {
        m_latencies.push_back({{"time_between_tokens_seconds", {serviceLabel(service)}}, *between});
    }
    addBurn(level, level.causeOfAnswer(now));
}

void router_metrics::notePlainAnswer(const service_id &service, const service_level &level, int status, instant now)
{
    const bool isFailure = status >= firstServerError;
    countRequest(service, isFailure ? "failed" : "answered");
    m_latencies.push_back({{"plain_answer_seconds", {serviceLabel(service)}}, level.timeToFirstToken(now)});
    addBurn(level, isFailure ? service_level_outcome::failure : level.causeOfAnswer(now));
}

void router_metrics::noteRefusal(const service_id &service, const service_level &level, error_code code, bool isNotExecuted)
{
    countRequest(service, isNotExecuted ? "refused" : "failed");
    if (code == error_code::quota_exceeded) {
        // Not counted against the service level: it is not known here whether the workspace was within its rate.
        count("quota_refusals_total", {serviceLabel(service)});
        return;
    }
    count("refusals_total", {{"code", std::string(errorCodeName(code))}});
    if (const auto cause = causeOfRefusal(code, isNotExecuted)) {
        addBurn(level, *cause);
    }
}

void router_metrics::noteUnattributedRefusal(error_code code)
{
    count("refusals_total", {{"code", std::string(errorCodeName(code))}});
}

void router_metrics::noteCallerGone(const service_id &service)
{
    countRequest(service, "caller_gone");
}

void router_metrics::noteRetry(const service_id &service)
{
    count("retries_total", {serviceLabel(service)});
}

void router_metrics::noteResume(const service_id &service)
{
    count("resumes_total", {serviceLabel(service)});
}

void router_metrics::notePrefill(const service_id &service)
{
    count("prefills_total", {serviceLabel(service)});
}

void router_metrics::noteWastedPrefill(const service_id &service)
{
    count("wasted_prefills_total", {serviceLabel(service)});
}

bool router_metrics::post(const sink<metric_batch> &receiver)
{
    if (m_counters.empty() && m_latencies.empty() && m_burn.empty()) {
        return true;
    }
    metric_batch batch;
    for (const auto &[metric, amount] : m_counters) {
        batch.counters.push_back({metric, amount});
    }
    batch.latencies = m_latencies;
    batch.burn = m_burn;
    if (receiver.post(std::move(batch)) == post_result::full) {
        return false;
    }
    m_counters.clear();
    m_latencies.clear();
    m_burn.clear();
    return true;
}

void router_metrics::count(std::string name, std::vector<metric_label> labels)
{
    ++m_counters[{std::move(name), std::move(labels)}];
}

void router_metrics::countRequest(const service_id &service, const char *result)
{
    count("requests_total", {serviceLabel(service), {"result", result}});
}

void router_metrics::addBurn(const service_level &level, service_level_outcome cause)
{
    m_burn.push_back({level.workspace(), level.urgency(), cause, 1});
}

} // namespace burdockshelf
