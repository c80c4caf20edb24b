#pragma once

#include "core/deadline.h"
#include "runtime/event_loop.h"

#include <functional>
#include <memory>

struct event;

namespace burdockshelf
{

/// Calls its owner on the loop's thread once its deadline has passed. Belongs to one task; destroying it cancels it.
class timer
{
public:
    timer(event_loop &loop, std::function<void()> callback);
    ~timer();
    timer(const timer &) = delete;
    timer &operator=(const timer &) = delete;

    /// Arms the timer, in place of an earlier deadline.
    void start(deadline at);
    void stop();
    bool isArmed() const;
    deadline at() const;

private:
    struct event_deleter
    {
        void operator()(event *handle) const;
    };

    static void fire(int socket, short what, void *self);

    std::function<void()> m_callback;
    std::unique_ptr<event, event_deleter> m_event;
    deadline m_at = deadline::never();
};

} // namespace burdockshelf
