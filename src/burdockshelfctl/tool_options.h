#pragma once

#include "core/socket_address.h"

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace burdockshelf
{

enum class output_format
{
    text,
    json,
};

/// What the command line says besides the command's name.
struct tool_options
{
    std::vector<std::string> arguments;
    std::string answersFile;
    /// File for the command's result; standard output when empty.
    std::string toFile;
    std::string htmlFile;
    output_format output = output_format::text;
    std::optional<socket_address> platform;
    /// Operators' addresses of the instances to ask.
    std::vector<socket_address> instances;
    bool isWaiting = false;
    std::chrono::seconds waitLimit {30};
    /// The operator's statement that the old instances of a data centre are switched off.
    bool isOldInstancesOff = false;
    bool isHelpWanted = false;
};

} // namespace burdockshelf
