#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/new_key.h"
#include "burdockshelfctl/session_command.h"

namespace burdockshelf
{

namespace
{

/// The key goes to the terminal and nowhere else: it is printed once, and neither a file nor the log keeps it.
void printKey(const command_context &context, const new_key &key)
{
    if (context.options.output == output_format::json) {
        context.out << nlohmann::json({{"result", "in_force"}, {"key", key.text}, {"key_id", key.grant.key.value()}}).dump() << '\n';
    } else {
        context.out << key.text << '\n';
    }
}

} // namespace

exit_status runKeyGrant(command_context &context)
{
    const workspace_id workspace(context.options.arguments.front());
    const auto session = openSession(context);
    if (session.has_error()) {
        return context.fail(session.error());
    }
    if (!session.value()->view()->config.workspaces.contains(workspace)) {
        return context.fail({error_code::not_found, "there is no workspace " + workspace.value() + " in the configuration in force"});
    }
    const new_key key = makeKey(workspace, context.random);
    const append_report report = session.value()->append(key.grant);
    if (report.fate != append_fate::in_force) {
        const std::string advice = "the key was not printed; run key withdraw " + key.grant.key.value() + " --in-advance and grant another";
        return reportFate(context, report, {"the key is granted", advice, key.grant});
    }
    printKey(context, key);
    return waitIfAsked(context, report.offset);
}

} // namespace burdockshelf
