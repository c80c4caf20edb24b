#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/configuration_file.h"
#include "burdockshelfctl/document_diff.h"

namespace burdockshelf
{

exit_status runDiff(command_context &context)
{
    const auto from = loadConfiguration(context.options.arguments.at(0));
    if (from.has_error()) {
        return context.fail(from.error());
    }
    const auto to = loadConfiguration(context.options.arguments.at(1));
    if (to.has_error()) {
        return context.fail(to.error());
    }
    const std::vector<entry_change> changes = diffDocuments(from.value(), to.value());
    return context.writeResult(diffText(changes), diffJson(changes));
}

} // namespace burdockshelf
