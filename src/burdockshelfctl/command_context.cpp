#include "burdockshelfctl/command_context.h"

#include "burdockshelfctl/text_file.h"

namespace burdockshelf
{

exit_status command_context::fail(const error &failure) const
{
    err << "burdockshelfctl: " << failure.message << '\n';
    return exitStatusOf(failure.code);
}

exit_status command_context::write(const std::string &text) const
{
    if (options.toFile.empty()) {
        out << text;
        return exit_status::done;
    }
    const auto written = writeTextFile(options.toFile, text);
    return written.has_value() ? exit_status::done : fail(written.error());
}

} // namespace burdockshelf
