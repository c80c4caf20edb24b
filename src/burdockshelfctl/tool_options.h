#pragma once

#include "core/socket_address.h"
#include "core/units.h"

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
    /// Version that a document was made from; nothing is published when another one is in force.
    std::optional<configuration_version> basedOn;
    bool isWaiting = false;
    std::chrono::seconds waitLimit {30};
    /// The operator's statement that the old instances of a data centre are switched off.
    bool isOldInstancesOff = false;
    /// Withdraw also a key whose grant is not in the log yet.
    bool isInAdvance = false;
    bool isHelpWanted = false;
};

} // namespace burdockshelf
