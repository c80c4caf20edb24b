#include "site/site_plan.h"

namespace burdockshelf
{

site_plan site_plan::small()
{
    site_plan plan;
    plan.dataCentres = {{"north", 2, 1, 2, 1}, {"south", 2, 1, 2, 1}};
    plan.workspaces = {{"dispatch", 20000, 40000}};
    plan.engineArguments = {"--warm"};
    return plan;
}

site_plan site_plan::kavakli()
{
    site_plan plan;
    plan.dataCentres = {{"ankara-a", 2, 1, 2, 1}, {"ankara-b", 2, 1, 1, 1}, {"kirikkale", 2, 1, 1, 1}, {"konya", 2, 1, 1, 1}};
    plan.workspaces = {
        {"large-1", 12000, 24000}, {"large-2", 12000, 24000}, {"small-1", 3000, 6000}, {"small-2", 3000, 6000}, {"small-3", 3000, 6000}};
    plan.engineArguments = {"--warm"};
    return plan;
}

site_plan site_plan::cascadia()
{
    site_plan plan;
    plan.dataCentres = {{"pnw-a", 3, 2, 4, 1}, {"pnw-b", 2, 2, 4, 1}, {"pnw-c", 2, 2, 4, 1}};
    plan.workspaces = {
        {"large-1", 24000, 48000}, {"large-2", 24000, 48000}, {"small-1", 6000, 12000}, {"small-2", 6000, 12000}, {"small-3", 6000, 12000}};
    plan.engineArguments = {"--warm"};
    return plan;
}

} // namespace burdockshelf
