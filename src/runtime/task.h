#pragma once

#include "core/outcome.h"
#include "runtime/mailbox.h"

#include <functional>
#include <memory>
#include <utility>

namespace burdockshelf
{

/// A child in the supervisor tree. It owns its sockets and its state and is run by one loop's thread. Its life: start, work, beginShutdown,
/// and destruction once it has said that it is finished. Its supervisor owns it.
class supervised
{
public:
    /// Told by a child that it cannot go on and wants to be restarted.
    using failure_handler = std::function<void(error)>;
    /// Told by a child that its shutdown is complete.
    using finish_handler = std::function<void()>;

    supervised() = default;
    virtual ~supervised() = default;
    supervised(const supervised &) = delete;
    supervised &operator=(const supervised &) = delete;

    /// Opens what the child owns. An error counts as a failure of the child.
    virtual outcome<void> start() = 0;

    /// Finishes what was accepted and takes nothing new, then calls finish(). The default has nothing to finish.
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
    /// Reports a failure. The supervisor destroys the child later, from the loop, so that the caller may return first.
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

/// A supervised child that receives messages of one type from its mailbox while it lives.
template<typename Message>
class task : public supervised
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
