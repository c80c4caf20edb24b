#pragma once

#include "core/deadline.h"
#include "runtime/sink.h"
#include "runtime/timer.h"

#include <chrono>
#include <deque>
#include <utility>

namespace burdockshelf
{

/// Sends messages that must not be lost when the receiver's mailbox is full, such as the release of a slot. Unsent messages are kept in
/// order and posted again after a delay. Owned by the sending task.
template<typename Message>
class outbox
{
public:
    outbox(event_loop &loop, sink<Message> to)
        : m_to(std::move(to))
        , m_retryTimer(loop, [this] { flush(); })
    {
    }

    void post(Message message)
    {
        m_unsent.push_back(std::move(message));
        if (!m_retryTimer.isArmed()) {
            flush();
        }
    }

    std::size_t waiting() const
    {
        return m_unsent.size();
    }

private:
    static constexpr std::chrono::milliseconds retryDelay {5};

    void flush()
    {
        while (!m_unsent.empty()) {
            // Posts a copy, since post() consumes its argument even when the mailbox is full.
            if (m_to.post(m_unsent.front()) == post_result::full) {
                m_retryTimer.start(deadline::after(boot_clock::now(), retryDelay));
                return;
            }
            m_unsent.pop_front();
        }
    }

    sink<Message> m_to;
    std::deque<Message> m_unsent;
    timer m_retryTimer;
};

} // namespace burdockshelf
