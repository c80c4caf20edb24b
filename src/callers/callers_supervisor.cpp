#include "callers/callers_supervisor.h"

#include <utility>

namespace burdockshelf
{

namespace
{

constexpr std::size_t mailboxCapacity = 65536;

} // namespace

std::unique_ptr<supervisor> makeCallersSupervisor(event_loop &loop, caller_listener_settings settings, caller_listener_sinks sinks)
{
    auto branch = std::make_unique<supervisor>(loop, "callers", std::make_unique<one_for_one>());
    const auto box = std::make_shared<mailbox<caller_response>>(loop, mailboxCapacity);
    branch->addChild({"caller_listener", [&loop, box, settings = std::move(settings), sinks = std::move(sinks)] {
                          return std::make_unique<caller_listener_task>(loop, box, settings, sinks);
                      }});
    return branch;
}

} // namespace burdockshelf
