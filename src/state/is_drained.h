#pragma once

#include "state/state_view.h"

namespace burdockshelf
{

/// True while the endpoint or its data centre is drained.
bool isDrained(const state_view &view, const endpoint_id &endpoint);

/// True while the instance or its data centre is drained.
bool isDrained(const state_view &view, const instance_id &instance, const data_centre_id &dataCentre);

} // namespace burdockshelf
