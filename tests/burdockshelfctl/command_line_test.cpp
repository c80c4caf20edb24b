#include "burdockshelfctl/command_line.h"
#include "burdockshelfctl/tool.h"

#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;

namespace
{

struct tool_run
{
    exit_status status = exit_status::done;
    std::string out;
    std::string err;
};

tool_run runWords(const std::vector<std::string> &words)
{
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream err;
    const exit_status status = runTool({words, std::nullopt, in, out, err});
    return {status, out.str(), err.str()};
}

} // namespace

TEST_GROUP(command_lines) {};

// Guards against a command without help or examples, or with a name that the parser does not find.
TEST(command_lines, areExplainedForEveryCommand)
{
    for (const command &listed : commandTable()) {
        CHECK_FALSE(listed.examples.empty());
        std::istringstream name {std::string(listed.name)};
        std::vector<std::string> words;
        for (std::string word; name >> word;) {
            words.push_back(word);
        }
        words.emplace_back("--help");
        const tool_run shown = runWords(words);
        CHECK_TRUE(shown.status == exit_status::done);
        for (const std::string_view example : listed.examples) {
            STRCMP_CONTAINS(std::string(example).c_str(), shown.out.c_str());
        }
    }
}

// Guards against examples in the help that the tool itself refuses.
TEST(command_lines, acceptTheExamplesOfTheHelp)
{
    for (const command &listed : commandTable()) {
        for (const std::string_view example : listed.examples) {
            std::istringstream text {std::string(example)};
            std::vector<std::string> words;
            for (std::string word; text >> word;) {
                words.push_back(word);
            }
            words.erase(words.begin());
            const auto parsed = parseCommandLine(words, std::nullopt);
            CHECK_TRUE(parsed.has_value());
            POINTERS_EQUAL(&listed, parsed.value().chosen);
        }
    }
}

// Guards against wrong usage that does something, or that is reported as another kind of failure.
TEST(command_lines, withMistakesEndWithUsage)
{
    const std::vector<std::vector<std::string>> mistakes = {{},
                                                            {"publsh"},
                                                            {"questionnaire", "extra"},
                                                            {"questionnaire", "--no-such"},
                                                            {"questionnaire", "--output", "xml"},
                                                            {"questionnaire", "--platform", "host:1"},
                                                            {"questionnaire", "--wait"},
                                                            {"questionnaire", "--wait-limit", "0"},
                                                            {"questionnaire"}};
    for (const std::vector<std::string> &words : mistakes) {
        const tool_run refused = runWords(words);
        CHECK_TRUE(refused.status == exit_status::usage);
        CHECK_FALSE(refused.err.empty());
    }
    CHECK_TRUE(runWords({"--version"}).out.starts_with("burdockshelfctl 0."));
}
