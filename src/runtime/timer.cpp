#include "runtime/timer.h"

#include <utility>

#include <event2/event.h>
#include <sys/time.h>

namespace burdockshelf
{

timer::timer(event_loop &loop, std::function<void()> callback)
    : m_callback(std::move(callback))
    , m_event(evtimer_new(loop.base(), &timer::fire, this))
{
}

timer::~timer() = default;

void timer::start(deadline at)
{
    m_at = at;
    if (at.isNever()) {
        evtimer_del(m_event.get());
        return;
    }
    const auto remaining = std::chrono::ceil<std::chrono::microseconds>(at.remaining(boot_clock::now()));
    timeval timeout = {};
    timeout.tv_sec = remaining.count() / 1000000;
    timeout.tv_usec = remaining.count() % 1000000;
    evtimer_add(m_event.get(), &timeout);
}

void timer::stop()
{
    start(deadline::never());
}

bool timer::isArmed() const
{
    return !m_at.isNever();
}

deadline timer::at() const
{
    return m_at;
}

void timer::fire(int /*socket*/, short /*what*/, void *self)
{
    auto *owner = static_cast<timer *>(self);
    owner->m_at = deadline::never();
    owner->m_callback();
}

void timer::event_deleter::operator()(event *handle) const
{
    event_free(handle);
}

} // namespace burdockshelf
