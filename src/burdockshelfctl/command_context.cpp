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

exit_status command_context::writeResult(const std::string &text, const nlohmann::json &value) const
{
    constexpr int indent = 2;
    const bool isJson = options.output == output_format::json;
    return write(isJson ? value.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace) + "\n" : text);
}

} // namespace burdockshelf
