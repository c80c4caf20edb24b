#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/session_command.h"

namespace burdockshelf
{

exit_status runKeyList(command_context &context)
{
    const auto session = openSession(context);
    if (session.has_error()) {
        return context.fail(session.error());
    }
    const state_view_ptr view = session.value()->view();
    std::string text;
    nlohmann::json list = nlohmann::json::array();
    for (const auto &[id, state] : view->keys) {
        const std::string condition = state.isWithdrawn ? "withdrawn" : "in force";
        text += id.value() + "  " + state.workspace.value() + "  " + condition + "\n";
        list.push_back({{"key_id", id.value()}, {"workspace", state.workspace.value()}, {"is_withdrawn", state.isWithdrawn}});
    }
    return context.writeResult(text, {{"keys", list}});
}

} // namespace burdockshelf
