#include "runtime/supervisor.h"

#include <algorithm>
#include <utility>

#include <boost/outcome/try.hpp>
#include <glog/logging.h>

namespace burdockshelf
{

supervisor::supervisor(event_loop &loop, std::string name, std::unique_ptr<restart_strategy> strategy, restart_limit limit)
    : m_name(std::move(name))
    , m_strategy(std::move(strategy))
    , m_limit(limit)
    , m_pending(loop, [this] { handlePending(); })
{
}

supervisor::~supervisor()
{
    while (!m_children.empty()) {
        m_children.pop_back();
    }
}

void supervisor::addChild(child_spec spec)
{
    CHECK(!hasChild(spec.name)) << "supervisor: " << m_name << " has a child " << spec.name << " already.";
    const std::string name = spec.name;
    m_children.push_back(std::make_unique<child>(child {std::move(spec), nullptr}));
    if (m_isStarted && !m_isShuttingDown) {
        const auto started = startChild(*m_children.back());
        if (!started) {
            childFailed(name, started.error());
        }
    }
}

void supervisor::removeChild(const std::string &name)
{
    child *entry = findChild(name);
    if (entry == nullptr || entry->isStopping) {
        return;
    }
    entry->isStopping = true;
    if (entry->running) {
        entry->running->beginShutdown();
    } else {
        childFinished(name);
    }
}

bool supervisor::hasChild(const std::string &name) const
{
    return std::any_of(m_children.begin(), m_children.end(), [&](const auto &entry) { return entry->spec.name == name; });
}

std::size_t supervisor::restartCount() const
{
    return m_restartCount;
}

outcome<void> supervisor::start()
{
    for (const auto &entry : m_children) {
        BOOST_OUTCOME_TRYV(startChild(*entry));
    }
    m_isStarted = true;
    return success();
}

void supervisor::beginShutdown()
{
    m_isShuttingDown = true;
    shutDownNext();
}

supervisor::child *supervisor::findChild(const std::string &name)
{
    const auto found = std::find_if(m_children.begin(), m_children.end(), [&](const auto &entry) { return entry->spec.name == name; });
    return found == m_children.end() ? nullptr : found->get();
}

outcome<void> supervisor::startChild(child &entry)
{
    const std::string name = entry.spec.name;
    entry.running = entry.spec.make();
    entry.running->setHandlers([this, name](const error &cause) { childFailed(name, cause); }, [this, name] { childFinished(name); });
    return entry.running->start();
}

void supervisor::childFailed(const std::string &name, const error &cause)
{
    LOG(WARNING) << "supervisor: " << m_name << ": child " << name << " failed: " << cause << ".";
    m_failed.push_back(name);
    m_pending.start(deadline::after(boot_clock::now(), {}));
}

void supervisor::childFinished(const std::string &name)
{
    m_finished.push_back(name);
    m_pending.start(deadline::after(boot_clock::now(), {}));
}

// Called from the event loop rather than from the child, so that no child is destroyed while one of its own functions is on the stack.
void supervisor::handlePending()
{
    while (!m_finished.empty()) {
        const std::string name = std::move(m_finished.front());
        m_finished.pop_front();
        std::erase_if(m_children, [&](const auto &entry) { return entry->spec.name == name; });
        if (m_isShuttingDown) {
            shutDownNext();
        }
    }
    while (!m_failed.empty()) {
        const std::string name = std::move(m_failed.front());
        m_failed.pop_front();
        restart(name);
    }
}

void supervisor::restart(const std::string &name)
{
    child *failed = findChild(name);
    if (failed == nullptr) {
        return;
    }
    if (failed->isStopping || m_isShuttingDown) {
        childFinished(name);
        return;
    }
    if (!isWithinLimit(boot_clock::now())) {
        fail({error_code::unavailable, m_name + ": too many restarts"});
        return;
    }
    const auto position = std::find_if(m_children.begin(), m_children.end(), [&](const auto &entry) { return entry.get() == failed; });
    const auto affected = m_strategy->affected(static_cast<std::size_t>(position - m_children.begin()), m_children.size());
    for (auto index = affected.rbegin(); index != affected.rend(); ++index) {
        m_children[*index]->running.reset();
    }
    for (const std::size_t index : affected) {
        child &entry = *m_children[index];
        LOG(INFO) << "supervisor: " << m_name << ": restarting " << entry.spec.name << ".";
        const auto started = startChild(entry);
        if (!started) {
            childFailed(entry.spec.name, started.error());
            return;
        }
    }
}

bool supervisor::isWithinLimit(instant now)
{
    while (!m_restarts.empty() && now - m_restarts.front() > m_limit.window) {
        m_restarts.pop_front();
    }
    m_restarts.push_back(now);
    ++m_restartCount;
    return m_restarts.size() <= m_limit.restarts;
}

void supervisor::shutDownNext()
{
    if (m_children.empty()) {
        finish();
        return;
    }
    child &last = *m_children.back();
    if (last.isStopping) {
        return;
    }
    last.isStopping = true;
    if (last.running) {
        last.running->beginShutdown();
    } else {
        childFinished(last.spec.name);
    }
}

} // namespace burdockshelf
