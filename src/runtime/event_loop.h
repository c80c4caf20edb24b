#pragma once

#include <memory>

struct event_base;

namespace burdockshelf
{

/// The libevent loop of one thread. Each task is bound to one loop and runs only on that loop's thread. The loop blocks in the kernel
/// while no event is ready.
class event_loop
{
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop &) = delete;
    event_loop &operator=(const event_loop &) = delete;

    /// Runs until stop() is called, even when no event is registered.
    void run();
    /// Handles the events that are ready now and returns without blocking.
    void runReady();
    /// Makes run() return after the current event. Thread-safe.
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
