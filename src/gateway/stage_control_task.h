#pragma once

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
    /// Two holders must not take turns within this time.
    std::chrono::milliseconds minHandoverInterval {3000};
    /// The part of a service's engines that should read prompts, in percent.
    std::int64_t prefillPercent = 0;
};

/// Orders engines to change their stage while this instance holds the duty to do so.
class stage_control_task : public task<stage_control_message>
{
public:
    stage_control_task(event_loop &loop,
                       std::shared_ptr<mailbox<stage_control_message>> box,
                       stage_control_settings settings,
                       const endpoint_dialect &endpoints,
                       event_log log);

    outcome<void> start() override;

private:
    void handle(stage_control_message &&message) override;
    void apply(const assignment_confirmed &confirmed);
    void apply(engines_listed &&listed);
    void considerOrder();
    void takeReport(const stage_change &change, const outcome<http_response> &answer);
    void takeOrdered(const stage_change &change, const outcome<http_response> &answer);

    event_loop &m_loop;
    stage_control_settings m_settings;
    const endpoint_dialect &m_dialect;
    event_log m_log;
    stage_control_lease m_lease;
    stage_balancer m_balance;
    std::vector<engine_snapshot> m_engines;
    std::unique_ptr<serial_http_client> m_order;
};

} // namespace burdockshelf
