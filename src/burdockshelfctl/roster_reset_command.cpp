#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/session_command.h"

namespace burdockshelf
{

exit_status runRosterReset(command_context &context)
{
    const data_centre_id dataCentre(context.options.arguments.front());
    if (!context.options.isOldInstancesOff) {
        return context.fail(
            {error_code::invalid_argument,
             "make sure that all old instances of " + dataCentre.value() + " are switched off, then say so with --old-instances-are-off"});
    }
    const auto session = openSession(context);
    if (session.has_error()) {
        return context.fail(session.error());
    }
    const state_view_ptr view = session.value()->view();
    const auto roster = view->rosters.find(dataCentre);
    if (roster == view->rosters.end()) {
        return context.fail({error_code::not_found, "the data centre " + dataCentre.value() + " has no roster"});
    }
    const std::string effect = "the roster of " + dataCentre.value() + " may be replaced";
    return makeChange(
        context, *session.value(), {effect, "run the command again; that does no harm", roster_reset {dataCentre, roster->second.epoch}});
}

} // namespace burdockshelf
