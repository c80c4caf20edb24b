#pragma once

#include "runtime/event_loop.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <utility>

#include <event2/event.h>

namespace burdockshelf
{

/// Result of posting a message.
enum class post_result
{
    delivered,
    /// The queue has reached its capacity; the message was not queued.
    full,
    /// The mailbox was closed, or the address has no mailbox.
    closed,
};

/// Bounded message queue of one task. It survives a restart of the task, so that addresses stay valid; messages stay queued while no
/// reader is attached. Other threads may only call post(); the mutex of the queue is the only lock shared between tasks.
template<typename Message>
class mailbox : public std::enable_shared_from_this<mailbox<Message>>
{
public:
    using reader = std::function<void(Message &&)>;

    mailbox(event_loop &loop, std::size_t capacity)
        : m_capacity(capacity)
        , m_wake(event_new(loop.base(), -1, 0, &mailbox::wake, this))
    {
    }

    post_result post(Message message)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosed) {
            return post_result::closed;
        }
        if (m_queue.size() >= m_capacity) {
            return post_result::full;
        }
        m_queue.push_back(std::move(message));
        if (m_queue.size() == 1) {
            event_active(m_wake.get(), 0, 0);
        }
        return post_result::delivered;
    }

    /// Sets the function that receives the messages. Must be called on the loop's thread.
    void attach(reader receive)
    {
        m_reader = std::move(receive);
        event_active(m_wake.get(), 0, 0);
    }

    void detach()
    {
        m_reader = nullptr;
    }

    void close()
    {
        const std::lock_guard lock(m_mutex);
        m_isClosed = true;
        m_queue.clear();
    }

private:
    struct event_deleter
    {
        void operator()(event *handle) const
        {
            event_free(handle);
        }
    };

    static void wake(int /*socket*/, short /*what*/, void *self)
    {
        const auto box = static_cast<mailbox *>(self)->shared_from_this();
        box->deliver();
    }

    // Delivers only the messages that were queued on entry. Later ones wait for the next loop iteration, so that a busy mailbox does not
    // starve socket events.
    void deliver()
    {
        std::size_t remaining = 0;
        {
            const std::lock_guard lock(m_mutex);
            remaining = m_queue.size();
        }
        while (remaining-- > 0 && m_reader) {
            const reader receive = m_reader;
            std::unique_lock lock(m_mutex);
            if (m_queue.empty()) {
                return;
            }
            Message message = std::move(m_queue.front());
            m_queue.pop_front();
            lock.unlock();
            receive(std::move(message));
        }
        const std::lock_guard lock(m_mutex);
        if (!m_queue.empty() && m_reader) {
            event_active(m_wake.get(), 0, 0);
        }
    }

    const std::size_t m_capacity;
    const std::unique_ptr<event, event_deleter> m_wake;
    reader m_reader;
    std::mutex m_mutex;
    std::deque<Message> m_queue;
    bool m_isClosed = false;
};

/// Handle for sending messages to a task. Copies are cheap and may be passed to other threads; an address stays valid after its task has
/// ended.
template<typename Message>
class address
{
public:
    address() = default;

    explicit address(std::shared_ptr<mailbox<Message>> box)
        : m_box(std::move(box))
    {
    }

    /// The sender must handle a full or closed mailbox.
    [[nodiscard]] post_result post(Message message) const
    {
        return m_box ? m_box->post(std::move(message)) : post_result::closed;
    }

    bool isValid() const
    {
        return m_box != nullptr;
    }

private:
    std::shared_ptr<mailbox<Message>> m_box;
};

} // namespace burdockshelf
