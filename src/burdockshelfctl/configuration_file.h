#pragma once

#include "core/outcome.h"
#include "state/configuration.h"

#include <string>

namespace burdockshelf
{

/// A configuration document that was read and checked as a whole. The error's text has a line for each fault.
outcome<configuration> loadConfiguration(const std::string &path);

} // namespace burdockshelf
