#pragma once

#include "burdockshelfd/daemon_settings.h"
#include "burdockshelfd/readiness.h"
#include "operators/operations_messages.h"
#include "runtime/supervisor.h"
#include "runtime/timer.h"

#include <functional>
#include <memory>

namespace burdockshelf
{

/// The supervisor tree of one instance. Creates the mailboxes, passes each branch the addresses that it needs, and starts and shuts down
/// the branches. A branch that exceeds its restart limit ends the process. The next process is a new incarnation, which holds no leases,
/// quota or slots of the previous one.
class instance_tree
{
public:
    /// Called once, with the exit status, when the process should exit.
    using end_handler = std::function<void(int)>;

    instance_tree(event_loop &loop, const daemon_settings &settings, end_handler onEnd);
    ~instance_tree();

    outcome<void> start();
    /// Starts a graceful shutdown: reports the instance as not ready, then shuts the branches down in reverse start order.
    void beginShutdown();

private:
    struct branches;

    void addBranches(const daemon_settings &settings);

    event_loop &m_loop;
    end_handler m_onEnd;
    std::chrono::milliseconds m_shutdownTimeout;
    std::unique_ptr<branches> m_branches;
    std::shared_ptr<mailbox<operations_message>> m_operations;
    readiness m_readiness;
    std::unique_ptr<supervisor> m_root;
    timer m_shutdownTimer;
    bool m_isShuttingDown = false;
};

} // namespace burdockshelf
