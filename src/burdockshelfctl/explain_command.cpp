#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/request_story.h"

#include <fstream>

namespace burdockshelf
{

namespace
{

constexpr std::size_t mostDamagedLinesNamed = 10;

void nameDamagedLines(const request_story &story, std::ostream &err)
{
    const std::vector<damaged_line> &damaged = story.damaged();
    for (std::size_t i = 0; i < std::min(damaged.size(), mostDamagedLinesNamed); ++i) {
        err << damaged[i].log << ":" << damaged[i].number << ": skipped, " << damaged[i].cause << '\n';
    }
    if (damaged.size() > mostDamagedLinesNamed) {
        err << damaged.size() - mostDamagedLinesNamed << " more damaged lines were skipped\n";
    }
}

} // namespace

exit_status runExplain(command_context &context)
{
    const std::vector<std::string> &arguments = context.options.arguments;
    request_story story(arguments.front());
    if (arguments.size() == 1) {
        story.addLog(context.in, "standard input");
    }
    for (std::size_t i = 1; i < arguments.size(); ++i) {
        std::ifstream log(arguments[i]);
        if (!log) {
            context.fail({error_code::not_found, arguments[i] + ": the log cannot be read"});
            return exit_status::no_input;
        }
        story.addLog(log, arguments[i]);
    }
    nameDamagedLines(story, context.err);
    if (!story.isKnown()) {
        context.fail({error_code::not_found,
                      "no line names request " + story.request() + " (" + std::to_string(story.linesRead()) + " lines read, "
                          + std::to_string(story.linesMissing()) + " left out or dropped by the instances)"});
        return exit_status::no_input;
    }
    return context.writeResult(storyText(story), storyJson(story));
}

} // namespace burdockshelf
