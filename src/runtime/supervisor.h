#pragma once

#include "core/deadline.h"
#include "runtime/restart_strategy.h"
#include "runtime/task.h"
#include "runtime/timer.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace burdockshelf
{

/// Number of restarts that a supervisor allows within a sliding time window. One more makes the supervisor itself fail.
struct restart_limit
{
    std::size_t restarts = 10;
    std::chrono::seconds window {10};
};

/// Describes a child: the name that identifies it within its supervisor and in the logs, and a factory that creates it.
struct child_spec
{
    std::string name;
    std::function<std::unique_ptr<supervised_child>()> make;
};

/// Owns its children. Starts them in order, restarts failed ones according to its strategy and shuts them down in reverse order. When the
/// restarts exceed the limit, the supervisor itself fails and its parent supervisor decides what to do.
class supervisor : public supervised_child
{
public:
    supervisor(event_loop &loop, std::string name, std::unique_ptr<restart_strategy> strategy, restart_limit limit = {});
    ~supervisor() override;

    /// Adds a child. After start(), the child is started immediately; an error from its start() counts as a failure of the child.
    void addChild(child_spec spec);
    /// Shuts a child down and removes it, for example when a peer has left the cluster. Unknown names are ignored.
    void removeChild(const std::string &name);
    bool hasChild(const std::string &name) const;
    std::size_t restartCount() const;

    outcome<void> start() override;
    void beginShutdown() override;

private:
    struct child
    {
        child_spec spec;
        std::unique_ptr<supervised_child> running;
        bool isStopping = false;
    };

    child *findChild(const std::string &name);
    outcome<void> startChild(child &entry);
    void childFailed(const std::string &name, const error &cause);
    void childFinished(const std::string &name);
    void handlePending();
    void restart(const std::string &name);
    bool isWithinLimit(instant now);
    void shutDownNext();

    std::string m_name;
    std::unique_ptr<restart_strategy> m_strategy;
    restart_limit m_limit;
    std::vector<std::unique_ptr<child>> m_children;
    std::deque<std::string> m_failed;
    std::deque<std::string> m_finished;
    std::deque<instant> m_restarts;
    std::size_t m_restartCount = 0;
    timer m_pending;
    bool m_isStarted = false;
    bool m_isShuttingDown = false;
};

} // namespace burdockshelf
