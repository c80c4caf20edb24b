#pragma once

#include "state/log_record.h"

namespace burdockshelf
{

/// The change, based on the old version, that leads from the old configuration to the new one. The new version number is not looked at.
configuration_change diffConfigurations(const configuration &from, const configuration &to);

/// True when the change sets and removes nothing.
bool isEmpty(const configuration_change &change);

} // namespace burdockshelf
