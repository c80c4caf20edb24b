#pragma once

#include "burdockshelfctl/command.h"
#include "burdockshelfctl/tool_options.h"
#include "core/outcome.h"

#include <optional>
#include <string>
#include <vector>

namespace burdockshelf
{

/// A command line that was understood. Without a command it asks for the general help or the version.
struct command_line
{
    const command *chosen = nullptr;
    bool isVersionWanted = false;
    tool_options options;
};

/// Reads the words after the program's name. The platform's address may come from the environment instead.
outcome<command_line> parseCommandLine(const std::vector<std::string> &words, const std::optional<std::string> &platformVariable);

/// The general help: every command with one line, and the options.
std::string generalHelp();

/// The help of one command with its examples.
std::string commandHelp(const command &shown);

} // namespace burdockshelf
