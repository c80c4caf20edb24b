#pragma once

#include "gateway/assignment_messages.h"
#include "gateway/caller_memory.h"
#include "gateway/gateway_messages.h"
#include "gateway/monitor_messages.h"
#include "logging/log_writer_task.h"

#include <string_view>

namespace burdockshelf
{

/// Receivers of the dispatcher's messages.
struct dispatch_addresses
{
    address<caller_server_message> callers;
    address<endpoint_client_message> endpoints;
    address<store_message> store;
    address<quota_broker_message> quotas;
    address<stage_control_message> stageControl;
    address<version_message> versions;
    sink<readiness_report> readiness;
    sink<metric_batch> metrics;
    /// The account whose state is published as metrics; may be null in tests.
    std::shared_ptr<caller_memory> callerMemory;
};

/// Sends the dispatcher's messages and collects its metrics. Messages to a full mailbox are dropped and logged. Owned by dispatch_task.
class dispatch_outbox
{
public:
    dispatch_outbox(dispatch_addresses to, event_log log);

    /// False when the message was dropped.
    bool toCallers(caller_server_message message);
    /// False when the message was dropped.
    bool toEndpoints(endpoint_client_message message);
    /// False when the message was dropped.
    bool toStore(store_message message);
    /// False when the message was dropped.
    bool toQuotas(quota_broker_message message);
    void toStageControl(stage_control_message message);
    /// False when the message was dropped.
    bool toVersions(version_message message);
    void reportReadiness(readiness_report report);

    void count(std::string_view metric, std::string_view label, std::string_view value);
    void recordLatency(std::string_view metric, std::string_view label, std::string_view value, boot_clock::duration latency);
    void setGauge(std::string_view metric, double value);
    void setGauge(std::string_view metric, std::string_view label, std::string_view value, double gauge);
    /// Adds the state of the account of callers.
    void measureCallerMemory();
    /// Sends the metrics collected since the previous call.
    void sendMetrics();

private:
    /// Returns whether the message was delivered.
    bool noteUndelivered(post_result result, std::string_view receiver);

    dispatch_addresses m_to;
    event_log m_log;
    metric_batch m_metrics;
};

} // namespace burdockshelf
