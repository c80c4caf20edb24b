#pragma once

#include "callers/caller_listener_task.h"
#include "runtime/supervisor.h"

#include <memory>

namespace burdockshelf
{

/// The branch of the tree that faces the callers. Its only child is the listener.
std::unique_ptr<supervisor> makeCallersSupervisor(event_loop &loop, caller_listener_settings settings, caller_listener_sinks links);

} // namespace burdockshelf
