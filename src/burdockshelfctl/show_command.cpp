#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/session_command.h"
#include "wire/configuration_codec.h"

namespace burdockshelf
{

exit_status runShow(command_context &context)
{
    const auto session = openSession(context);
    if (session.has_error()) {
        return context.fail(session.error());
    }
    const state_view_ptr view = session.value()->view();
    context.err << "version " << view->config.version << " is in force\n";
    return context.write(encodeConfiguration(view->config));
}

} // namespace burdockshelf
