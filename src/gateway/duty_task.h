#pragma once

#include "forwarding/duty_lease.h"
#include "forwarding/stage_balance.h"
#include "gateway/duty_messages.h"
#include "gateway/gateway_messages.h"
#include "gateway/timed_call.h"
#include "logging/log_writer_task.h"
#include "runtime/task.h"

#include <memory>
#include <vector>

namespace burdockshelf
{

struct duty_settings
{
    instance_id instance;
    /// Two holders must not take turns within this time.
    std::chrono::milliseconds turnTime {3000};
    /// The part of a service's engines that should read prompts, in percent.
    std::int64_t prefillPercent = 0;
};

/// Orders engines to change their stage while this instance holds the duty to do so.
class duty_task : public task<duty_message>
{
public:
    duty_task(event_loop &loop,
              std::shared_ptr<mailbox<duty_message>> box,
              duty_settings settings,
              const endpoint_dialect &endpoints,
              event_log log);

    outcome<void> start() override;

private:
    void handle(duty_message &&message) override;
    void apply(const duties_confirmed &confirmed);
    void apply(engines_listed &&listed);
    void considerOrder();
    void takeReport(const stage_change &change, const outcome<http_response> &answer);
    void takeOrdered(const stage_change &change, const outcome<http_response> &answer);

    event_loop &m_loop;
    duty_settings m_settings;
    const endpoint_dialect &m_dialect;
    event_log m_log;
    duty_lease m_lease;
    stage_balance m_balance;
    std::vector<staged_endpoint> m_engines;
    std::unique_ptr<timed_call> m_order;
};

} // namespace burdockshelf
