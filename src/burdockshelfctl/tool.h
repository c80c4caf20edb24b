#pragma once

#include "burdockshelfctl/exit_status.h"

#include <istream>
#include <optional>
#include <ostream>
#include <string>
#include <vector>

namespace burdockshelf
{

/// What the tool gets from the process that it runs in.
struct tool_environment
{
    std::vector<std::string> words;
    /// Value of the environment variable BURDOCKSHELF_PLATFORM.
    std::optional<std::string> platformVariable;
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
};

/// Runs one command line from start to end.
exit_status runTool(const tool_environment &environment);

} // namespace burdockshelf
