#include "burdockshelfctl/blocking_http.h"
#include "burdockshelfctl/burn_page.h"
#include "burdockshelfctl/burn_report.h"
#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/text_file.h"

namespace burdockshelf
{

namespace
{

constexpr auto fetchLimit = std::chrono::seconds(5);

void addInstance(burn_report &report, const fetched_body &fetched)
{
    if (fetched.body.has_error()) {
        report.addMissing({fetched.server, fetched.body.error()});
        return;
    }
    const auto rows = decodeBurnRows(fetched.body.value());
    if (rows.has_error()) {
        report.addMissing({fetched.server, rows.error()});
        return;
    }
    for (const burn_row &row : rows.value()) {
        report.add(row);
    }
}

} // namespace

exit_status runReportBurn(command_context &context)
{
    const tool_options &options = context.options;
    if (options.instances.empty()) {
        return context.fail({error_code::invalid_argument, "name each instance to ask with --instance ip:port"});
    }
    burn_report report;
    for (const fetched_body &fetched : fetchFromAll(context.loop, options.instances, "/burn", fetchLimit)) {
        addInstance(report, fetched);
    }
    if (!options.htmlFile.empty()) {
        const auto written = writeTextFile(options.htmlFile, burnPage(report));
        if (written.has_error()) {
            return context.fail(written.error());
        }
    }
    const exit_status status = context.write(options.output == output_format::json ? burnJson(report) : burnText(report));
    return status == exit_status::done && !report.missing().empty() ? exit_status::try_again : status;
}

} // namespace burdockshelf
