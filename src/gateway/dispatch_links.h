#pragma once

#include "gateway/assignment_messages.h"
#include "gateway/gateway_messages.h"
#include "gateway/monitor_messages.h"
#include "logging/log_writer_task.h"

#include <string_view>

namespace burdockshelf
{

/// Where the dispatcher sends its decisions.
struct dispatch_addresses
{
    address<front_message> callers;
    address<endpoint_link_message> endpoints;
    address<store_message> store;
    address<quota_broker_message> quotas;
    address<stage_control_message> duty;
    sink<readiness_report> readiness;
    sink<metric_batch> metrics;
};

/// Sends the dispatcher's messages and gathers its metrics. A message that a full mailbox does not take is logged and lost. Owned by
/// dispatch_task.
class dispatch_links
{
public:
    dispatch_links(dispatch_addresses to, event_log log);

    void toCallers(front_message message);
    void toEndpoints(endpoint_link_message message);
    void toStore(store_message message);
    void toQuotas(quota_broker_message message);
    void toDuty(stage_control_message message);
    void reportReadiness(readiness_report report);

    void count(std::string_view metric, std::string_view label, std::string_view value);
    void noteLatency(std::string_view metric, std::string_view label, std::string_view value, boot_clock::duration latency);
    void setGauge(std::string_view metric, double value);
    /// Hands on what was gathered since the last time.
    void sendMetrics();

private:
    void noteResult(post_result result, std::string_view receiver);

    dispatch_addresses m_to;
    event_log m_log;
    metric_batch m_metrics;
};

} // namespace burdockshelf
