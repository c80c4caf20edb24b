#pragma once

#include "core/ids.h"

namespace burdockshelf
{

/// Who an instance is; the first thing both sides of a mesh connection say.
struct peer_hello
{
    instance_id instance;
    incarnation_id incarnation;
    data_centre_id dataCentre;

    friend bool operator==(const peer_hello &, const peer_hello &) = default;
};

} // namespace burdockshelf
