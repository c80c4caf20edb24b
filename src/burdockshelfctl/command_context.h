#pragma once

#include "burdockshelfctl/exit_status.h"
#include "burdockshelfctl/log_session.h"
#include "burdockshelfctl/tool_options.h"
#include "core/outcome.h"
#include "core/random_source.h"
#include "runtime/event_loop.h"

#include <istream>
#include <ostream>
#include <string>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

/// What a command works with: its options, the terminal, the event loop on which it waits for answers, and random numbers for record ids.
struct command_context
{
    tool_options options;
    std::istream &in;
    std::ostream &out;
    std::ostream &err;
    event_loop &loop;
    random_source &random;
    log_session_limits sessionLimits = {};

    /// Prints the error and gives the exit status that belongs to it.
    exit_status fail(const error &failure) const;
    /// Writes a result to the file named by --to, or to standard output.
    exit_status write(const std::string &text) const;
    /// Writes a result as text or JSON, as the command line says.
    exit_status writeResult(const std::string &text, const nlohmann::json &value) const;
};

} // namespace burdockshelf
