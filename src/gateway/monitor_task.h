#pragma once

#include "gateway/monitor_messages.h"
#include "http/http_server.h"
#include "metrics/metric_registry.h"
#include "runtime/task.h"

#include <memory>

namespace burdockshelf
{

struct monitor_settings
{
    socket_address readinessAddress;
    socket_address metricsAddress;
};

/// Serves the load balancer's readiness checks and the metrics. Makes no decisions of its own.
class monitor_task : public task<monitor_message>
{
public:
    monitor_task(event_loop &loop, std::shared_ptr<mailbox<monitor_message>> box, monitor_settings settings);

    outcome<void> start() override;

private:
    void handle(monitor_message &&message) override;
    void apply(readiness_report &&report);
    void apply(const metric_batch &batch);
    http_response readiness() const;
    http_response metrics() const;

    monitor_settings m_settings;
    readiness_report m_readiness {false, "starting"};
    metric_registry m_registry;
    http_server m_readinessServer;
    http_server m_metricsServer;
};

} // namespace burdockshelf
