#pragma once

#include "core/deadline.h"
#include "runtime/sink.h"
#include "runtime/timer.h"

#include <chrono>
#include <deque>
#include <utility>

namespace burdockshelf
{

/// Messages that must not be lost when the receiver's mailbox is full, such as the return of a slot. They are kept in order and posted
/// again after a pause. Owned by the sending task.
template<typename Message>
class outbox
{
public:
    outbox(event_loop &loop, sink<Message> to)
        : m_to(std::move(to))
        , m_retry(loop, [this] { flush(); })
    {
    }

    void post(Message message)
    {
        m_waiting.push_back(std::move(message));
        if (!m_retry.isArmed()) {
            flush();
        }
    }

    std::size_t waiting() const
    {
        return m_waiting.size();
    }

private:
    static constexpr std::chrono::milliseconds retryPause {5};

    void flush()
    {
        while (!m_waiting.empty()) {
            // The message is copied, because a full mailbox does not give it back.
            if (m_to.post(m_waiting.front()) == post_result::full) {
                m_retry.start(deadline::after(boot_clock::now(), retryPause));
                return;
            }
            m_waiting.pop_front();
        }
    }

    sink<Message> m_to;
    std::deque<Message> m_waiting;
    timer m_retry;
};

} // namespace burdockshelf
