#pragma once

#include "burdockshelfctl/finding.h"
#include "state/configuration.h"

#include <vector>

namespace burdockshelf
{

/// The faults of a configuration as a whole: names that refer to nothing, roles that do not fit, services that nothing can answer,
/// addresses and paths that are given twice. Pointers are those of the configuration document.
std::vector<finding> checkConfiguration(const configuration &config);

} // namespace burdockshelf
