#include "burdockshelfctl/command.h"
#include "burdockshelfctl/commands.h"

#include <algorithm>

namespace burdockshelf
{

namespace
{

using example = std::string_view;

constexpr example questionnaireExamples[] = {"burdockshelfctl questionnaire --to answers.json",
                                             "burdockshelfctl questionnaire --answers answers.json"};
constexpr example generateExamples[] = {"burdockshelfctl generate --answers answers.json --to configuration.json"};
constexpr example checkExamples[] = {"burdockshelfctl check configuration.json"};
constexpr example diffExamples[] = {"burdockshelfctl diff old.json new.json"};
constexpr example publishExamples[] = {
    "burdockshelfctl publish configuration.json --platform 10.0.0.5:7000",
    "burdockshelfctl publish configuration.json --based-on 17",
    "burdockshelfctl publish configuration.json --wait --instance 10.0.0.11:9100 --instance 10.0.0.12:9100"};
constexpr example showExamples[] = {"burdockshelfctl show --to configuration.json"};
constexpr example statusExamples[] = {"burdockshelfctl status --instance 10.0.0.11:9100 --instance 10.0.0.12:9100"};
constexpr example keyGrantExamples[] = {"burdockshelfctl key grant freight-one"};
constexpr example keyWithdrawExamples[] = {"burdockshelfctl key withdraw 5f0c2a9be1d34477 --wait --instance 10.0.0.11:9100",
                                           "burdockshelfctl key withdraw 5f0c2a9be1d34477 --in-advance"};
constexpr example keyListExamples[] = {"burdockshelfctl key list --output json"};
constexpr example drainExamples[] = {"burdockshelfctl drain data-centre ankara-a --wait --instance 10.0.0.11:9100",
                                     "burdockshelfctl drain endpoint search-decode-3",
                                     "burdockshelfctl drain instance entry-4"};
constexpr example returnExamples[] = {"burdockshelfctl return data-centre ankara-a"};
constexpr example rosterResetExamples[] = {"burdockshelfctl roster reset konya --old-instances-are-off"};
constexpr example reportBurnExamples[] = {
    "burdockshelfctl report burn --instance 10.0.0.11:9100 --instance 10.0.0.12:9100 --html burn.html"};

constexpr example explainExamples[] = {"burdockshelfctl explain fa7b084fa78d5028 edge-1.log edge-2.log",
                                       "burdockshelfctl explain fa7b084fa78d5028 --output json < all.log"};

constexpr command commands[] = {
    {"questionnaire",
     "",
     0,
     "Asks on the terminal for everything a configuration needs and saves each answer to the file named by --to. Goes on "
     "from where an existing file ends. With --answers it asks nothing and only checks that file.",
     questionnaireExamples,
     &runQuestionnaire},
    {"generate", "", 0, "Writes the configuration document that follows from an answers file.", generateExamples, &runGenerate},
    {"check", "FILE", 1, "Checks a configuration document as a whole.", checkExamples, &runCheck},
    {"diff", "OLD NEW", 2, "Shows the entries that differ between two configuration documents.", diffExamples, &runDiff},
    {"publish",
     "FILE",
     1,
     "Replaces the configuration in force by a document. Says whether it is in force, another operator came first, or it is not "
     "known. With --based-on it publishes nothing when another version is in force than the one the document was made from.",
     publishExamples,
     &runPublish},
    {"show", "", 0, "Writes the configuration in force as a document, and its version to the error stream.", showExamples, &runShow},
    {"status", "", 0, "Shows what the given instances say of themselves, and which cannot be reached.", statusExamples, &runStatus},
    {"key grant", "WORKSPACE", 1, "Grants a key to a workspace and prints it once.", keyGrantExamples, &runKeyGrant},
    {"key withdraw", "KEY_ID", 1, "Withdraws a key for good.", keyWithdrawExamples, &runKeyWithdraw},
    {"key list", "", 0, "Lists the ids of all keys with their workspaces.", keyListExamples, &runKeyList},
    {"drain",
     "data-centre|instance|endpoint NAME",
     2,
     "Takes a data centre, an instance or an endpoint out of service.",
     drainExamples,
     &runDrain},
    {"return",
     "data-centre|instance|endpoint NAME",
     2,
     "Returns a data centre, an instance or an endpoint to service.",
     returnExamples,
     &runReturn},
    {"roster reset",
     "DATA_CENTRE",
     1,
     "States that the old instances of a data centre are switched off, so that new ones may replace them at once. Needs "
     "--old-instances-are-off. With an old instance still running, two instances may decide for the same workspace.",
     rosterResetExamples,
     &runRosterReset},
    {"report burn",
     "",
     0,
     "Shows how fast each workspace and urgency class uses up its error budget, summed over the given instances.",
     reportBurnExamples,
     &runReportBurn},
    {"explain",
     "REQUEST_ID [LOG...]",
     2,
     "Shows what the instances decided on a request, in order, what each of them believed then and how old that was, and why the request "
     "ended as it did. Reads the logs named, or standard input. Damaged lines are named and skipped.",
     explainExamples,
     &runExplain,
     true},
};

bool isNamedBy(const command &candidate, std::span<const std::string> words)
{
    std::string spoken;
    const std::size_t count = std::min(wordCount(candidate), words.size());
    for (const std::string &word : words.first(count)) {
        spoken += spoken.empty() ? word : " " + word;
    }
    return spoken == candidate.name;
}

} // namespace

std::span<const command> commandTable()
{
    return commands;
}

const command *findCommand(std::span<const std::string> words)
{
    const auto *const found =
        std::find_if(std::begin(commands), std::end(commands), [words](const command &candidate) { return isNamedBy(candidate, words); });
    return found == std::end(commands) ? nullptr : found;
}

std::size_t wordCount(const command &found)
{
    return 1 + static_cast<std::size_t>(std::count(found.name.begin(), found.name.end(), ' '));
}

} // namespace burdockshelf
