#include "burdockshelfctl/burn_page.h"
#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/instance_status.h"

#include "command_run.h"
#include "support/property.h"

using namespace burdockshelf;

namespace
{

burn_row row(const std::string &workspace, std::int64_t good, std::int64_t late)
{
    const burn_window window = {request_count(good), request_count(late), request_count(0), request_count(0)};
    return {{workspace_id(workspace), urgency_class_id("urgent")}, 0.99, window, window};
}

constexpr const char *oneRow = R"({"rows":[{"workspace":"acme","urgency":"urgent","objective":0.99,)"
                               R"("short":{"good":90,"latency":5,"refusal":3,"failure":2},)"
                               R"("long":{"good":990,"latency":5,"refusal":3,"failure":2}}]})";

} // namespace

TEST_GROUP(burn) {};

// Guards against rates that depend on the order of the instances or that are not those of the sums.
TEST(burn, isMergedByAddition)
{
    CHECK_PROPERTY("order does not matter and counts add up", [](std::uint16_t good, std::uint16_t late, std::uint16_t more) {
        burn_report forward;
        burn_report backward;
        forward.add(row("a", good, late));
        forward.add(row("a", more, 0));
        backward.add(row("a", more, 0));
        backward.add(row("a", good, late));
        RC_ASSERT(forward.rows() == backward.rows());
        RC_ASSERT(forward.rows().begin()->second.longWindow.total() == request_count(good + late + more));
    });
}

// Guards against a wrong reading of the objective: 10 of 100 bad at 99% is ten times the allowed rate.
TEST(burn, rateIsInRelationToTheObjective)
{
    const auto rows = decodeBurnRows(oneRow);
    CHECK_TRUE(rows.has_value());
    const burn_row &read = rows.value().front();
    DOUBLES_EQUAL(10, burnRate(read.shortWindow, read.objective), 1e-9);
    DOUBLES_EQUAL(0, budgetLeft(read), 1e-9);
    DOUBLES_EQUAL(0, burnRate({}, 0.99), 1e-9);
}

// Guards against a broken answer of an instance that ends the report with a crash.
TEST(burn, withMutatedAnswersIsAValueError)
{
    CHECK_PROPERTY("mutated rows are refused or read", [] {
        std::string mutated = oneRow;
        for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
            mutated[*rc::gen::inRange<std::size_t>(0, mutated.size())] = *rc::gen::inRange<char>(' ', '~');
        }
        const auto rows = decodeBurnRows(mutated);
        const bool isExplained = rows.has_value() || rows.error().message.starts_with("/burn: ");
        RC_ASSERT(isExplained);
    });
}

// Guards against a page that needs a script or the network, or that shows names as markup.
TEST(burn, pageStandsAlone)
{
    burn_report report;
    report.add(row("<b>&", 1, 1));
    const std::string page = burnPage(report);
    STRCMP_CONTAINS("<svg", page.c_str());
    STRCMP_CONTAINS("&lt;b&gt;&amp;", page.c_str());
    for (const char *unwanted : {"<script", "http:", "https:", "src=", "url(", "<b>"}) {
        CHECK_TRUE(page.find(unwanted) == std::string::npos);
    }
}

// Guards against a report that leaves out an instance in silence.
TEST(burn, reportNamesInstancesThatAreMissing)
{
    command_run run;
    const fake_instance first(run.loop, [] { return oneRow; });
    const fake_instance second(run.loop, [] { return oneRow; });
    tool_options options;
    options.output = output_format::json;
    options.instances = {first.at, second.at, {"127.0.0.1", 1}};
    CHECK_TRUE(run.start(&runReportBurn, options) == exit_status::try_again);
    const auto written = nlohmann::json::parse(run.out.str());
    CHECK_EQUAL(180, written["rows"][0]["short"]["good"].get<int>());
    STRCMP_EQUAL("127.0.0.1:1", written["missing"][0]["instance"].get<std::string>().c_str());
}

TEST_GROUP(instance_statuses) {};

// Guards against an unreachable instance that hides the others or is not named.
TEST(instance_statuses, areShownWithWhatCannotBeReached)
{
    command_run run;
    const fake_instance reachable(run.loop, [] {
        return R"({"identity":{"instance":"entry-1","data_centre":"konya"},"configuration":{"version":4,"covered":17},)"
               R"("members":[{"instance":"entry-1"}],"endpoints":[],"quota":[]})";
    });
    const fake_instance broken(run.loop, [] { return "[]"; });
    tool_options options;
    options.instances = {reachable.at, broken.at, {"127.0.0.1", 1}};
    CHECK_TRUE(run.start(&runStatus, options) == exit_status::try_again);
    STRCMP_CONTAINS("instance entry-1 in konya, configuration version 4, log read up to offset 17", run.out.str().c_str());
    STRCMP_CONTAINS("127.0.0.1:1: cannot be reached", run.out.str().c_str());
}
