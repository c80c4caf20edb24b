#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/session_command.h"

namespace burdockshelf
{

exit_status runKeyWithdraw(command_context &context)
{
    const key_id key(context.options.arguments.front());
    const auto session = openSession(context);
    if (session.has_error()) {
        return context.fail(session.error());
    }
    if (!session.value()->view()->keys.contains(key) && !context.options.isInAdvance) {
        return context.fail(
            {error_code::not_found,
             "the log holds no key with this id; see burdockshelfctl key list, or use --in-advance when its grant may still "
             "arrive"});
    }
    const std::string effect = "the key " + key.value() + " is withdrawn";
    return makeChange(context, *session.value(), {effect, "withdraw it again; that does no harm", key_withdrawal {key}});
}

} // namespace burdockshelf
