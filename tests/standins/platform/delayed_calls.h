#pragma once

#include "core/deadline.h"
#include "runtime/timer.h"

#include <functional>
#include <map>

namespace burdockshelf
{

/// Calls functions at their deadlines, from the loop.
class delayed_calls
{
public:
    explicit delayed_calls(event_loop &loop);

    void add(deadline at, std::function<void()> call);

private:
    void run();

    std::multimap<deadline, std::function<void()>> m_calls;
    timer m_timer;
};

} // namespace burdockshelf
