#pragma once

#include "core/ids.h"
#include "core/socket_address.h"

namespace burdockshelf
{

enum class instance_state
{
    live,
    leaving,
};

/// An entry of the platform's list of instances.
struct listed_instance
{
    instance_id instance;
    incarnation_id incarnation;
    data_centre_id dataCentre;
    socket_address mesh;
    instance_state state = instance_state::live;

    friend bool operator==(const listed_instance &, const listed_instance &) = default;
};

} // namespace burdockshelf
