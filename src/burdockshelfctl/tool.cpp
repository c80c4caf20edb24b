#include "burdockshelfctl/tool.h"

#include "burdockshelfctl/command_line.h"

namespace burdockshelf
{

namespace
{

exit_status runCommand(const command &chosen, const tool_options &options, const tool_environment &environment)
{
    event_loop loop;
    random_source random;
    command_context context {options, environment.in, environment.out, environment.err, loop, random};
    return chosen.run(context);
}

} // namespace

exit_status runTool(const tool_environment &environment)
{
    const auto parsed = parseCommandLine(environment.words, environment.platformVariable);
    if (parsed.has_error()) {
        environment.err << "burdockshelfctl: " << parsed.error().message << '\n';
        return exit_status::usage;
    }
    const command_line &line = parsed.value();
    if (line.isVersionWanted) {
        environment.out << "burdockshelfctl " BURDOCKSHELF_VERSION "\n";
        return exit_status::done;
    }
    if (line.options.isHelpWanted) {
        environment.out << (line.chosen == nullptr ? generalHelp() : commandHelp(*line.chosen));
        return exit_status::done;
    }
    if (line.chosen == nullptr) {
        environment.err << generalHelp();
        return exit_status::usage;
    }
    return runCommand(*line.chosen, line.options, environment);
}

} // namespace burdockshelf
