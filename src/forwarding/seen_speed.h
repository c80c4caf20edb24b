#pragma once

#include "core/ids.h"

#include <cstdint>

namespace burdockshelf
{

/// How long work takes at an endpoint, as one instance has last seen it.
struct seen_speed
{
    endpoint_id endpoint;
    /// 100 is as usual.
    std::int64_t percent = 100;
};

} // namespace burdockshelf
