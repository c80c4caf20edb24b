#pragma once

#include "burdockshelfctl/command_context.h"

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace burdockshelf
{

/// One command of the tool: how it is called, what it does and the function that runs it.
struct command
{
    /// One or two words, for example "key grant".
    std::string_view name;
    /// Names of the arguments as the help shows them.
    std::string_view arguments;
    std::size_t argumentCount;
    std::string_view help;
    std::span<const std::string_view> examples;
    exit_status (*run)(command_context &);
    /// The last argument may be repeated or left out.
    bool isOpenEnded = false;
};

/// Every command, in the order in which the help lists them.
std::span<const command> commandTable();

/// The command that the words begin with; null when there is none.
const command *findCommand(std::span<const std::string> words);

/// Number of words in the command's name.
std::size_t wordCount(const command &found);

} // namespace burdockshelf
