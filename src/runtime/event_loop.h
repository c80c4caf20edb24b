#pragma once

#include <memory>

struct event_base;

namespace burdockshelf
{

/// One thread's libevent loop. Tasks are bound to a loop and are only ever run by its thread. The loop sleeps in the kernel while there
/// is nothing to do.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// Runs until stop() is called; also while no event is registered.
    void run();
    /// Runs the events that are ready now and returns without waiting.
    void runReady();
    /// Ends run() after the current event. Callable from any thread.
    void stop();

    event_base *base() const;

private:
    struct base_deleter
    {
        void operator()(event_base *base) const;
    };

    std::unique_ptr<event_base, base_deleter> m_base;
};

} // namespace burdockshelf
