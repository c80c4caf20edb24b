#pragma once

#include "forwarding/endpoint_notices.h"
#include "forwarding/stage_balancer.h"
#include "forwarding/stage_control_lease.h"
#include "gateway/assignment_messages.h"
#include "gateway/gateway_messages.h"
#include "gateway/serial_http_client.h"
#include "logging/log_writer_task.h"
#include "runtime/task.h"

#include <memory>
#include <vector>

namespace burdockshelf
{

struct stage_control_settings
{
    instance_id instance;
    /// Minimum time between the last order of one holder of the stage control and the first order of the next holder.
    std::chrono::milliseconds minHandoverInterval {3000};
    /// Percentage of a service's engines that should run prefill.
    std::int64_t prefillPercent = 0;
    /// The dispatcher decides about rollouts while this instance holds the stage control.
    bool hasRollouts = false;
};

/// Orders engines to change their stage, as long as this instance holds the stage control.
class stage_control_task : public task<stage_control_message>
{
public:
    stage_control_task(event_loop &loop,
                       std::shared_ptr<mailbox<stage_control_message>> box,
                       stage_control_settings settings,
                       const endpoint_dialect &endpoints,
                       address<dispatch_message> dispatcher,
                       event_log log);

    outcome<void> start() override;

private:
    void handle(stage_control_message &&message) override;
    void apply(const assignment_confirmed &confirmed);
    void apply(engines_listed &&listed);
    void orderNextChange();
    void handleEngineStatus(const stage_change &change, const outcome<http_response> &response);
    /// Passes on what the engine states in a response about the further requests that it wants. Returns true when it may still be called.
    bool noteNotice(const engine_snapshot &engine, const outcome<http_response> &response);
    void handleOrderResponse(const stage_change &change, const outcome<http_response> &response);

    event_loop &m_loop;
    stage_control_settings m_settings;
    const endpoint_dialect &m_dialect;
    address<dispatch_message> m_dispatcher;
    event_log m_log;
    stage_control_lease m_lease;
    stage_balancer m_balancer;
    std::vector<engine_snapshot> m_engines;
    /// What engines have stated in responses to this task, which the dispatcher may not have processed yet.
    endpoint_notices m_notices;
    std::unique_ptr<serial_http_client> m_engineClient;
};

} // namespace burdockshelf
