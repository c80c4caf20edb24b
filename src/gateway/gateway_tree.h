#pragma once

#include "gateway/assignment_messages.h"
#include "gateway/caller_front_task.h"
#include "gateway/dialects.h"
#include "gateway/gateway_messages.h"
#include "gateway/gateway_settings.h"
#include "gateway/monitor_messages.h"
#include "logging/log_writer_task.h"
#include "runtime/supervisor.h"

#include <functional>
#include <memory>

namespace burdockshelf
{

/// The supervisor tree of a gateway. Children in start order: log, monitor, endpoints, mesh, quotas, dispatcher, store, duty, group,
/// callers; they end in the reverse order, so that what was taken from callers is answered first.
class gateway_tree
{
public:
    /// Called once with the exit status.
    using end_handler = std::function<void(int)>;

    /// Log lines go to the given descriptor.
    gateway_tree(
        event_loop &loop, const gateway_settings &settings, const gateway_dialects &dialects, int logDescriptor, end_handler onEnd);
    ~gateway_tree();

    outcome<void> start();
    /// Where callers are served, with the port that the kernel chose when the settings say 0.
    const socket_address &callerAddress() const;
    /// Graceful: not ready first, then the children end.
    void beginShutdown();
    /// The settings file has changed. Only a restart takes over new addresses, so this is noted and cuts nothing.
    void logIgnoredReload();

private:
    event_loop &m_loop;
    end_handler m_onEnd;
    std::shared_ptr<mailbox<log_line>> m_logMailbox;
    std::shared_ptr<mailbox<monitor_message>> m_monitorBox;
    std::shared_ptr<mailbox<endpoint_link_message>> m_endpointBox;
    std::shared_ptr<mailbox<mesh_supervisor_message>> m_meshBox;
    std::shared_ptr<mailbox<quota_broker_message>> m_quotaBox;
    std::shared_ptr<mailbox<dispatch_message>> m_dispatchBox;
    std::shared_ptr<mailbox<store_message>> m_storeBox;
    std::shared_ptr<mailbox<stage_control_message>> m_dutyBox;
    std::shared_ptr<mailbox<group_message>> m_groupBox;
    std::shared_ptr<mailbox<front_message>> m_frontBox;
    event_log m_log;
    socket_address m_callerAddress;
    /// Where other instances reach this one.
    socket_address m_peerAddress;
    std::unique_ptr<supervisor> m_root;
    bool m_isShuttingDown = false;
};

} // namespace burdockshelf
