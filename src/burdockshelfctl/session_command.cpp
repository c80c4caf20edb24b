#include "burdockshelfctl/session_command.h"

#include "burdockshelfctl/instance_wait.h"

namespace burdockshelf
{

namespace
{

exit_status reportInForce(const command_context &context, const append_report &report, const wanted_change &change)
{
    const std::string text = "in force: " + change.effect + " (log offset " + std::to_string(report.offset.value()) + ")\n";
    return context.writeResult(text, {{"result", "in_force"}, {"effect", change.effect}, {"offset", report.offset.value()}});
}

exit_status reportRejected(const command_context &context, const append_report &report, const wanted_change &change)
{
    if (report.rejection == record_rejection::no_effect) {
        return reportInForce(context, report, change);
    }
    const std::string reason(rejectionName(report.rejection));
    context.err << "burdockshelfctl: not in force: another change came first (" << reason
                << "); look at the present state and decide again\n";
    return exit_status::lost_race;
}

exit_status reportUnknown(const command_context &context, const append_report &report, const wanted_change &change)
{
    context.err << "burdockshelfctl: not known whether the change is in force: " << report.cause.message << "; " << change.adviceIfUnknown
                << '\n';
    return exit_status::try_again;
}

exit_status reportNotAppended(const command_context &context, const append_report &report, const wanted_change & /*change*/)
{
    context.err << "burdockshelfctl: not in force: the change did not reach the platform: " << report.cause.message << '\n';
    return exit_status::platform_unavailable;
}

struct fate_report
{
    append_fate fate;
    exit_status (*report)(const command_context &, const append_report &, const wanted_change &);
};

constexpr fate_report fateReports[] = {
    {append_fate::in_force, &reportInForce},
    {append_fate::rejected, &reportRejected},
    {append_fate::unknown, &reportUnknown},
    {append_fate::not_appended, &reportNotAppended},
};

} // namespace

outcome<std::unique_ptr<log_session>> openSession(const command_context &context)
{
    if (!context.options.platform) {
        return failure(error_code::invalid_argument, "name the platform with --platform ip:port or BURDOCKSHELF_PLATFORM");
    }
    auto session = std::make_unique<log_session>(context.loop, context.random, *context.options.platform, context.sessionLimits);
    BOOST_OUTCOME_TRYV(session->catchUp());
    return session;
}

exit_status makeChange(const command_context &context, log_session &session, const wanted_change &change)
{
    const append_report report = session.append(change.record);
    const exit_status reported = reportFate(context, report, change);
    return reported == exit_status::done ? waitIfAsked(context, report.offset) : reported;
}

exit_status reportFate(const command_context &context, const append_report &report, const wanted_change &change)
{
    for (const fate_report &entry : fateReports) {
        if (entry.fate == report.fate) {
            return entry.report(context, report, change);
        }
    }
    return exit_status::try_again;
}

exit_status waitIfAsked(const command_context &context, log_offset offset)
{
    return context.options.isWaiting ? waitForInstances(context, offset) : exit_status::done;
}

} // namespace burdockshelf
