#include "log_service/log_service_supervisor.h"

namespace burdockshelf
{

namespace
{

constexpr std::size_t logMailboxCapacity = 256;
constexpr std::size_t instancesMailboxCapacity = 16;

} // namespace

log_service_supervisor::log_service_supervisor(event_loop &loop,
                                               const log_service_settings &settings,
                                               const log_service_sinks &sinks,
                                               random_source random)
    : supervisor(loop, "platform", std::make_unique<one_for_one>())
    , m_logMailbox(std::make_shared<mailbox<log_task_message>>(loop, logMailboxCapacity))
    , m_instancesMailbox(std::make_shared<mailbox<instance_list_task_message>>(loop, instancesMailboxCapacity))
    , m_random(random)
{
    addChild({"log_task", [this, &loop, settings = settings.log, receivers = sinks.log] {
                  return std::make_unique<log_task>(loop, m_logMailbox, settings, receivers, random_source(m_random.below(UINT64_MAX)));
              }});
    addChild({"instance_list_task", [this, &loop, settings = settings.instances, receivers = sinks.instances] {
                  const random_source childRandom(m_random.below(UINT64_MAX));
                  return std::make_unique<instance_list_task>(loop, m_instancesMailbox, settings, receivers, childRandom);
              }});
}

address<log_task_message> log_service_supervisor::log() const
{
    return address<log_task_message>(m_logMailbox);
}

address<instance_list_task_message> log_service_supervisor::instances() const
{
    return address<instance_list_task_message>(m_instancesMailbox);
}

} // namespace burdockshelf
