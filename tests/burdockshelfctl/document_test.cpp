#include "burdockshelfctl/answers_file.h"
#include "burdockshelfctl/configuration_file.h"
#include "burdockshelfctl/document_diff.h"
#include "burdockshelfctl/text_file.h"
#include "burdockshelfctl/tool.h"
#include "wire/configuration_codec.h"

#include "support/property.h"
#include "support/scratch_folder.h"

#include <sstream>

using namespace burdockshelf;

namespace
{

const std::string kavakli = BURDOCKSHELF_EXAMPLES "/kavakli/answers.json";

exit_status runTwice(const std::vector<std::string> &words, std::string &first, std::string &second)
{
    std::istringstream in;
    std::ostringstream out;
    std::ostringstream again;
    std::ostringstream err;
    const exit_status status = runTool({words, std::nullopt, in, out, err});
    runTool({words, std::nullopt, in, again, err});
    first = out.str();
    second = again.str();
    return status;
}

} // namespace

TEST_GROUP(documents) {};

// Guards against a document that differs from run to run, or that check refuses.
TEST(documents, areGeneratedDeterministicallyAndPassTheCheck)
{
    const scratch_folder folder;
    for (const std::string example : {"kavakli", "cascadia"}) {
        std::string first;
        std::string second;
        const std::string answers = BURDOCKSHELF_EXAMPLES "/" + example + "/answers.json";
        CHECK_TRUE(runTwice({"generate", "--answers", answers}, first, second) == exit_status::done);
        CHECK_FALSE(first.empty());
        STRCMP_EQUAL(first.c_str(), second.c_str());
        const std::string file = folder.path("configuration.json");
        CHECK_TRUE(writeTextFile(file, first).has_value());
        CHECK_TRUE(runTwice({"check", file}, first, second) == exit_status::done);
    }
}

// Guards against a broken document that ends the tool with a crash or an error that does not name the file.
TEST(documents, withMutatedBytesAreValueErrors)
{
    const scratch_folder folder;
    const std::string file = folder.path("configuration.json");
    const std::string text = encodeConfiguration(loadAnswers(kavakli).value());
    CHECK_PROPERTY("a mutated document is read or refused with a line", [&] {
        std::string mutated = text;
        for (int i = *rc::gen::inRange(1, 6); i > 0; --i) {
            mutated[*rc::gen::inRange<std::size_t>(0, mutated.size())] = *rc::gen::arbitrary<char>();
        }
        RC_ASSERT(writeTextFile(file, mutated).has_value());
        const auto loaded = loadConfiguration(file);
        const bool isExplained = loaded.has_value() || loaded.error().message.starts_with(file + ": ");
        RC_ASSERT(isExplained);
    });
}

// Guards against a change that the operator does not see before publishing.
TEST(documents, thatDifferShowEveryChangedEntry)
{
    const configuration from = loadAnswers(kavakli).value();
    configuration to = from;
    to.workspaces.at(workspace_id("yuk-pazari")).rate = token_rate(700);
    to.workspaces.erase(workspace_id("konya-tahil"));
    to.dataCentres[data_centre_id("sivas")].region = region_id("ic-anadolu");
    STRCMP_EQUAL("+ data_centres/sivas {\"region\":\"ic-anadolu\"}\n"
                 "- workspaces/konya-tahil\n"
                 "~ workspaces/yuk-pazari: rate_tokens_per_s 500 -> 700\n",
                 diffText(diffDocuments(from, to)).c_str());
    CHECK_TRUE(diffDocuments(from, from).empty());
}
