#pragma once

#include "core/boot_clock.h"
#include "core/ids.h"
#include "forwarding/endpoint_entry.h"
#include "forwarding/prompt_parts.h"

#include <vector>

namespace burdockshelf
{

/// A request that waited for output, or whose output had just begun, when its connection to the endpoint was lost.
struct crash_suspect
{
    attempt_id request;
    prompt_parts parts;
};

/// The crash of an endpoint's process as one instance has seen it, with the requests that may have caused it. A lost connection is taken
/// for a crash. The crash of a process is counted once, however many requests and instances notice it.
struct endpoint_crash
{
    endpoint_process process;
    instant at;
    std::vector<crash_suspect> suspects;
};

} // namespace burdockshelf
