#include "standins/platform/delayed_calls.h"

#include <utility>

namespace burdockshelf
{

delayed_calls::delayed_calls(event_loop &loop)
    : m_timer(loop, [this] { run(); })
{
}

void delayed_calls::add(deadline at, std::function<void()> call)
{
    m_calls.emplace(at, std::move(call));
    m_timer.start(m_calls.begin()->first);
}

void delayed_calls::run()
{
    const instant now = boot_clock::now();
    while (!m_calls.empty() && m_calls.begin()->first.hasPassed(now)) {
        const auto call = std::move(m_calls.begin()->second);
        m_calls.erase(m_calls.begin());
        call();
    }
    if (!m_calls.empty()) {
        m_timer.start(m_calls.begin()->first);
    }
}

} // namespace burdockshelf
