#pragma once

#include "core/outcome.h"
#include "state/configuration.h"
#include "state/log_record.h"

#include <string>

namespace burdockshelf
{

/// What "data-centre ankara-a" and the like name. Data centres and endpoints must be in the configuration; instances are not listed there.
outcome<drain_target> parseDrainTarget(const std::string &kind, const std::string &name, const configuration &config);

} // namespace burdockshelf
