#pragma once

#include "gateway/assignment_messages.h"
#include "gateway/caller_server_task.h"
#include "gateway/dialects.h"
#include "gateway/gateway_messages.h"
#include "gateway/gateway_settings.h"
#include "gateway/monitor_messages.h"
#include "gateway/store_call_counter.h"
#include "logging/log_writer_task.h"
#include "runtime/supervisor.h"

#include <functional>
#include <memory>

namespace burdockshelf
{

/// The supervisor tree of a gateway, the router process of an instance on the users' platform. Children in start order: log, monitor,
/// endpoints, mesh, quotas, dispatcher, versions (the records of software versions), store, duty (the child with this name is the stage
/// control task), group (membership of the group to whose members the store assigns stage control and quota partitions), callers. They shut
/// down in reverse order, so that accepted requests are completed first.
class gateway_tree
{
public:
    /// Called once, with the exit status of the process.
    using end_handler = std::function<void(int)>;

    /// Log lines are written to the given file descriptor.
    gateway_tree(
        event_loop &loop, const gateway_settings &settings, const gateway_dialects &dialects, int logDescriptor, end_handler onEnd);
    ~gateway_tree();

    outcome<void> start();
    /// The address of the callers' listener, with the port chosen by the kernel if the settings say 0.
    const socket_address &callerAddress() const;
    /// Shuts down gracefully: the instance becomes not ready first, then the children shut down.
    void beginShutdown();
    /// Logs that a reload of the settings was requested and ignored. Settings are read at startup only, because they contain addresses, and
    /// new addresses need a restart. Nothing is reloaded and no connection is closed.
    void logIgnoredReload();

private:
    store_call_counter storeCallCounter() const;

    event_loop &m_loop;
    end_handler m_onEnd;
    std::shared_ptr<mailbox<log_line>> m_logMailbox;
    std::shared_ptr<mailbox<monitor_message>> m_monitorMailbox;
    std::shared_ptr<mailbox<endpoint_client_message>> m_endpointClientMailbox;
    std::shared_ptr<mailbox<mesh_supervisor_message>> m_meshMailbox;
    std::shared_ptr<mailbox<quota_broker_message>> m_quotaMailbox;
    std::shared_ptr<mailbox<dispatch_message>> m_dispatchMailbox;
    std::shared_ptr<mailbox<version_message>> m_versionMailbox;
    std::shared_ptr<mailbox<store_message>> m_storeMailbox;
    std::shared_ptr<mailbox<stage_control_message>> m_stageControlMailbox;
    std::shared_ptr<mailbox<group_message>> m_groupMailbox;
    std::shared_ptr<mailbox<caller_server_message>> m_callerServerMailbox;
    event_log m_log;
    std::shared_ptr<caller_memory> m_callerMemory;
    socket_address m_callerAddress;
    /// Address on which other instances reach this one.
    socket_address m_peerAddress;
    std::unique_ptr<supervisor> m_root;
    bool m_isShuttingDown = false;
};

} // namespace burdockshelf
