#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/drain_argument.h"
#include "burdockshelfctl/session_command.h"

namespace burdockshelf
{

namespace
{

drain_state presentState(const state_view &view, const drain_target &target)
{
    const auto found = view.drains.find(target);
    return found == view.drains.end() ? drain_state() : found->second;
}

exit_status changeDrain(const command_context &context, bool isDrained)
{
    const std::string &kind = context.options.arguments.at(0);
    const std::string &name = context.options.arguments.at(1);
    const auto session = openSession(context);
    if (session.has_error()) {
        return context.fail(session.error());
    }
    const state_view_ptr view = session.value()->view();
    const auto target = parseDrainTarget(kind, name, view->config);
    if (target.has_error()) {
        return context.fail(target.error());
    }
    const std::string effect = kind + " " + name + (isDrained ? " is out of service" : " is in service");
    const drain_state present = presentState(*view, target.value());
    if (present.isDrained == isDrained) {
        const exit_status written = context.writeResult("in force already: " + effect + "\n", {{"result", "in_force"}, {"effect", effect}});
        return written == exit_status::done ? waitIfAsked(context, view->covered) : written;
    }
    const drain_change change = {target.value(), present.sequence, isDrained};
    return makeChange(context, *session.value(), {effect, "run the command again; that does no harm", change});
}

} // namespace

exit_status runDrain(command_context &context)
{
    return changeDrain(context, true);
}

exit_status runReturn(command_context &context)
{
    return changeDrain(context, false);
}

} // namespace burdockshelf
