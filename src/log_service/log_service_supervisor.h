#pragma once

#include "log_service/instance_list_task.h"
#include "log_service/log_task.h"
#include "runtime/supervisor.h"

#include <memory>
#include <vector>

namespace burdockshelf
{

struct log_service_settings
{
    log_task_settings log;
    instance_list_settings instances;
};

/// The receivers of log records and instance lists.
struct log_service_sinks
{
    log_task_sinks log;
    std::vector<sink<instance_list>> instances;
};

/// Supervises the tasks that call the platform. The mailboxes outlive restarts of their tasks.
class log_service_supervisor : public supervisor
{
public:
    log_service_supervisor(event_loop &loop, const log_service_settings &settings, const log_service_sinks &sinks, random_source random);

    address<log_task_message> log() const;
    address<instance_list_task_message> instances() const;

private:
    std::shared_ptr<mailbox<log_task_message>> m_logMailbox;
    std::shared_ptr<mailbox<instance_list_task_message>> m_instancesMailbox;
    random_source m_random;
};

} // namespace burdockshelf
