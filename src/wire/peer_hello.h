#pragma once

#include "core/ids.h"

namespace burdockshelf
{

/// Identity of an instance; the first message that each side sends on a mesh connection.
struct peer_hello
{
    instance_id instance;
    incarnation_id incarnation;
    data_centre_id dataCentre;

    friend bool operator==(const peer_hello &, const peer_hello &) = default;
};

} // namespace burdockshelf
