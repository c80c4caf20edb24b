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

/// How often a supervisor restarts children before it fails itself.
struct restart_limit
{
    std::size_t restarts = 10;
    std::chrono::seconds window {10};
};

/// A child as its supervisor knows it: a name for the logs and the way to make a new one.
struct child_spec
{
    std::string name;
    std::function<std::unique_ptr<supervised>()> make;
};

/// Starts its children in order, restarts those that fail by its strategy, and shuts them down in reverse order. When restarts exceed the
/// limit it fails itself, which hands the decision to its own supervisor. Owns its children.
class supervisor : public supervised
{
public:
    supervisor(event_loop &loop, std::string name, std::unique_ptr<restart_strategy> strategy, restart_limit limit = {});
    ~supervisor() override;

    /// Adds a child. A child added after start() is started at once; one that does not start counts as failed.
    void addChild(child_spec spec);
    /// Shuts a child down and forgets it, for example a peer that has left. Unknown names are ignored.
    void removeChild(const std::string &name);
    bool hasChild(const std::string &name) const;
    std::size_t restartCount() const;

    outcome<void> start() override;
    void beginShutdown() override;

private:
    struct child
    {
        child_spec spec;
        std::unique_ptr<supervised> running;
        bool isLeaving = false;
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
