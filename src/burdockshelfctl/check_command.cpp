#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/configuration_file.h"

namespace burdockshelf
{

exit_status runCheck(command_context &context)
{
    const std::string &path = context.options.arguments.front();
    const auto loaded = loadConfiguration(path);
    if (loaded.has_error()) {
        return context.fail(loaded.error());
    }
    context.err << path << ": the configuration is in order.\n";
    return exit_status::done;
}

} // namespace burdockshelf
