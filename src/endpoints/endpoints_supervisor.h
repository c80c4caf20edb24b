#pragma once

#include "endpoints/endpoint_messages.h"
#include "endpoints/endpoint_task.h"
#include "runtime/supervisor.h"

#include <map>
#include <memory>
#include <string>

namespace burdockshelf
{

/// Runs one endpoint_task for each endpoint of the configuration in force and forwards messages to them. When the address of an endpoint
/// changes, a new task replaces the old one, which completes its running attempts first.
class endpoints_supervisor : public supervisor
{
public:
    endpoints_supervisor(event_loop &loop,
                         std::shared_ptr<mailbox<endpoints_message>> box,
                         endpoint_report_sinks reports,
                         endpoint_task_settings settings = {});
    ~endpoints_supervisor() override;

private:
    /// The running task of an endpoint.
    struct entry
    {
        std::string child;
        socket_address server;
        std::shared_ptr<mailbox<endpoint_task_message>> box;
    };

    void receive(const endpoint_envelope &post);
    void receive(const endpoints_changed &change);
    void add(const endpoint_id &endpoint, const socket_address &server);
    void remove(const endpoint_id &endpoint);
    void refuse(const endpoint_task_message &message, const endpoint_id &endpoint, post_result reason);

    event_loop &m_loop;
    std::shared_ptr<mailbox<endpoints_message>> m_box;
    endpoint_report_sinks m_reports;
    endpoint_task_settings m_settings;
    std::map<endpoint_id, entry> m_entries;
    std::uint64_t m_lastChildNumber = 0;
};

} // namespace burdockshelf
