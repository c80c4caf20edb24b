#pragma once

#include "burdockshelfctl/command_context.h"
#include "burdockshelfctl/log_session.h"

#include <memory>
#include <string>

namespace burdockshelf
{

/// A session with the platform that the command line names, read up to the log's end.
outcome<std::unique_ptr<log_session>> openSession(const command_context &context);

/// A change that a command asks for, in words for its reports.
struct wanted_change
{
    /// What holds once the change is in force, for example "the data centre konya is out of service".
    std::string effect;
    /// What the operator should know when it is not known whether the change is in force.
    std::string adviceIfUnknown;
    log_record record;
};

/// Appends the record, reports truly what became of it, and waits for the instances when the command line says so.
exit_status makeChange(const command_context &context, log_session &session, const wanted_change &change);

/// The parts of makeChange(), for commands that do something in between.
exit_status reportFate(const command_context &context, const append_report &report, const wanted_change &change);
exit_status waitIfAsked(const command_context &context, log_offset offset);

} // namespace burdockshelf
