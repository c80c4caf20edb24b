#pragma once

#include "core/deadline.h"
#include "runtime/event_loop.h"

#include <functional>
#include <memory>

struct event;

namespace burdockshelf
{

/// One-shot timer that runs its callback on the loop's thread once the deadline has passed. Owned by one task; destruction cancels it.
class timer
{
public:
    timer(event_loop &loop, std::function<void()> callback);
    ~timer();
    timer(const timer &) = delete;
    timer &operator=(const timer &) = delete;

    /// Arms the timer and replaces an earlier deadline. deadline::never() disarms it.
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
