#pragma once

#include "callers/caller_listener_task.h"
#include "runtime/supervisor.h"

#include <memory>

namespace burdockshelf
{

/// Makes the supervisor of the tasks that serve callers. Its only child is the listener.
std::unique_ptr<supervisor> makeCallersSupervisor(event_loop &loop, caller_listener_settings settings, caller_listener_sinks sinks);

} // namespace burdockshelf
