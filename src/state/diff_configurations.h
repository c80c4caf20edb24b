#pragma once

#include "state/log_record.h"

namespace burdockshelf
{

/// Returns the change, based on the version of the first configuration, that turns it into the second. The version number of the second is
/// ignored.
configuration_change diffConfigurations(const configuration &from, const configuration &to);

/// True when the change neither sets nor removes an entry.
bool isEmpty(const configuration_change &change);

} // namespace burdockshelf
