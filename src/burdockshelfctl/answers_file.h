#pragma once

#include "core/outcome.h"
#include "state/configuration.h"

#include <string>

namespace burdockshelf
{

/// The configuration that an answers file leads to. The error's text has a line for each fault in the file.
outcome<configuration> loadAnswers(const std::string &path);

} // namespace burdockshelf
