#pragma once

#include "core/boot_clock.h"
#include "core/ids.h"
#include "forwarding/endpoint_entry.h"
#include "forwarding/prompt_parts.h"

#include <compare>
#include <vector>

namespace burdockshelf
{

/// One run of an endpoint's process. Equal values denote the same process, so that the crash of a process is counted once, however many
/// requests and instances notice it.
struct endpoint_run
{
    endpoint_id endpoint;
    endpoint_start_time startTime;

    friend auto operator<=>(const endpoint_run &, const endpoint_run &) = default;
};

/// A request that waited for output, or whose output had just begun, when its connection to the endpoint was lost.
struct crash_suspect
{
    attempt_id request;
    prompt_parts parts;
};

/// The crash of an endpoint as one instance has seen it, with the requests that may have caused it. A lost connection is taken for a crash.
struct endpoint_crash
{
    endpoint_run run;
    instant at;
    std::vector<crash_suspect> suspects;
};

} // namespace burdockshelf
