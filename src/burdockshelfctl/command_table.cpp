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
constexpr example statusExamples[] = {"burdockshelfctl status --instance 10.0.0.11:9100 --instance 10.0.0.12:9100"};
constexpr example reportBurnExamples[] = {
    "burdockshelfctl report burn --instance 10.0.0.11:9100 --instance 10.0.0.12:9100 --html burn.html"};

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
    {"status", "", 0, "Shows what the given instances say of themselves, and which cannot be reached.", statusExamples, &runStatus},
    {"report burn",
     "",
     0,
     "Shows how fast each workspace and urgency class uses up its error budget, summed over the given instances.",
     reportBurnExamples,
     &runReportBurn},
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
