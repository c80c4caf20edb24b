#pragma once

#include "core/outcome.h"
#include "state/diff_configurations.h"
#include "state/log_record.h"

#include <optional>

namespace burdockshelf
{

/// The change that leads from the configuration in force to the wanted one; empty when both are the same. When the version that the wanted
/// one was made from is known and another one is in force, the change would undo other operators' changes unseen and is a conflict.
outcome<configuration_change>
preparePublication(const configuration &inForce, const configuration &wanted, const std::optional<configuration_version> &basedOn);

} // namespace burdockshelf
