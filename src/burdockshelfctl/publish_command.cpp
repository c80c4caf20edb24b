#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/configuration_file.h"
#include "burdockshelfctl/publication.h"
#include "burdockshelfctl/session_command.h"

namespace burdockshelf
{

exit_status runPublish(command_context &context)
{
    const auto wanted = loadConfiguration(context.options.arguments.front());
    if (wanted.has_error()) {
        return context.fail(wanted.error());
    }
    const auto session = openSession(context);
    if (session.has_error()) {
        return context.fail(session.error());
    }
    const state_view_ptr view = session.value()->view();
    const auto change = preparePublication(view->config, wanted.value(), context.options.basedOn);
    if (change.has_error()) {
        return context.fail(change.error());
    }
    const std::int64_t present = view->config.version.value();
    if (isEmpty(change.value())) {
        const std::string text = "in force: the document is version " + std::to_string(present) + " already\n";
        const exit_status written = context.writeResult(text, {{"result", "in_force"}, {"version", present}});
        return written == exit_status::done ? waitIfAsked(context, view->covered) : written;
    }
    const std::string effect = "the document is version " + std::to_string(present + 1);
    return makeChange(context, *session.value(), {effect, "compare with burdockshelfctl show before you publish again", change.value()});
}

} // namespace burdockshelf
