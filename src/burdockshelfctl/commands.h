#pragma once

#include "burdockshelfctl/command_context.h"

namespace burdockshelf
{

// The functions behind the command table, each in a file of its own name.

exit_status runQuestionnaire(command_context &context);
exit_status runGenerate(command_context &context);
exit_status runCheck(command_context &context);
exit_status runDiff(command_context &context);
exit_status runPublish(command_context &context);
exit_status runShow(command_context &context);
exit_status runStatus(command_context &context);
exit_status runKeyGrant(command_context &context);
exit_status runKeyWithdraw(command_context &context);
exit_status runKeyList(command_context &context);
exit_status runDrain(command_context &context);
exit_status runReturn(command_context &context);
exit_status runRosterReset(command_context &context);
exit_status runReportBurn(command_context &context);
exit_status runExplain(command_context &context);

} // namespace burdockshelf
