#pragma once

#include "core/outcome.h"
#include "runtime/mailbox.h"

#include <functional>
#include <memory>
#include <utility>

namespace burdockshelf
{

/// A child in the supervisor tree. It owns its sockets and its state and runs on the thread of one event loop. The owning supervisor calls
/// start() and later beginShutdown(). It destroys the child after the child has called finish(), or to restart it after a failure.
class supervised_child
{
public:
    /// Called by a child that cannot continue and needs a restart.
    using failure_handler = std::function<void(error)>;
    /// Called by a child when its shutdown is complete.
    using finish_handler = std::function<void()>;

    supervised_child() = default;
    virtual ~supervised_child() = default;
    supervised_child(const supervised_child &) = delete;
    supervised_child &operator=(const supervised_child &) = delete;

    /// Acquires the child's resources. An error counts as a failure of the child.
    virtual outcome<void> start() = 0;

    /// Stops accepting work, completes the accepted work and then calls finish(). The default has no work to complete.
    virtual void beginShutdown()
    {
        finish();
    }

    void setHandlers(failure_handler onFailure, finish_handler onFinish)
    {
        m_onFailure = std::move(onFailure);
        m_onFinish = std::move(onFinish);
    }

protected:
    /// Reports a failure. The supervisor destroys the child later, from the event loop, so that the calling function can return first.
    void fail(error cause)
    {
        if (m_onFailure) {
            m_onFailure(std::move(cause));
        }
    }

    void finish()
    {
        if (m_onFinish) {
            m_onFinish();
        }
    }

private:
    failure_handler m_onFailure;
    finish_handler m_onFinish;
};

/// A supervised child that receives messages of one type from its mailbox from construction to destruction.
template<typename Message>
class task : public supervised_child
{
public:
    explicit task(std::shared_ptr<mailbox<Message>> box)
        : m_box(std::move(box))
    {
        m_box->attach([this](Message &&message) { handle(std::move(message)); });
    }

    ~task() override
    {
        m_box->detach();
    }

protected:
    virtual void handle(Message &&message) = 0;

    address<Message> self() const
    {
        return address<Message>(m_box);
    }

private:
    std::shared_ptr<mailbox<Message>> m_box;
};

} // namespace burdockshelf
