#pragma once

#include "core/outcome.h"

#include <string>
#include <string_view>

namespace burdockshelf
{

/// The whole content of a file.
outcome<std::string> readTextFile(const std::string &path);

/// Replaces a file as a whole, so that a crash leaves either the old content or the new.
outcome<void> writeTextFile(const std::string &path, std::string_view text);

bool isExistingFile(const std::string &path);

} // namespace burdockshelf
