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

/// The whole supervisor tree of one instance. Makes the mailboxes, gives every branch the addresses that it needs, and starts and ends the
/// branches. A branch that fails past its restart limit ends the process, which starts again as a new incarnation that holds nothing.
class instance_tree
{
public:
    /// Called once with the exit status.
    using end_handler = std::function<void(int)>;

    instance_tree(event_loop &loop, const daemon_settings &settings, end_handler onEnd);
    ~instance_tree();

    outcome<void> start();
    /// Graceful: reports unready first, then ends the branches in reverse order.
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
