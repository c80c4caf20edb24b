#include "runtime/event_loop.h"

#include <mutex>

#include <event2/event.h>
#include <event2/thread.h>
#include <glog/logging.h>

namespace burdockshelf
{

event_loop::event_loop()
{
    static std::once_flag threadsEnabled;
    std::call_once(threadsEnabled,
                   [] { CHECK_EQ(evthread_use_pthreads(), 0) << "runtime: cannot enable the pthreads support of libevent."; });
    m_base.reset(event_base_new());
    CHECK(m_base) << "runtime: cannot create the libevent event base.";
}

event_loop::~event_loop() = default;

void event_loop::run()
{
    event_base_loop(m_base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::runReady()
{
    event_base_loop(m_base.get(), EVLOOP_NONBLOCK);
}

void event_loop::stop()
{
    event_base_loopbreak(m_base.get());
}

event_base *event_loop::base() const
{
    return m_base.get();
}

void event_loop::base_deleter::operator()(event_base *base) const
{
    event_base_free(base);
}

} // namespace burdockshelf
