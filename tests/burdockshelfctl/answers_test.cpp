#include "burdockshelfctl/answers_file.h"
#include "burdockshelfctl/answers_reader.h"
#include "burdockshelfctl/questionnaire.h"
#include "burdockshelfctl/text_file.h"

#include "support/property.h"

#include <sstream>

using namespace burdockshelf;

namespace
{

const std::string kavakli = BURDOCKSHELF_EXAMPLES "/kavakli/answers.json";
const std::string cascadia = BURDOCKSHELF_EXAMPLES "/cascadia/answers.json";

nlohmann::json exampleAnswers()
{
    return nlohmann::json::parse(readTextFile(kavakli).value());
}

std::size_t countEndpoints(const configuration &config, const std::string &service)
{
    std::size_t count = 0;
    for (const auto &[id, settings] : config.endpoints) {
        count += settings.service.value() == service ? 1 : 0;
    }
    return count;
}

/// Answers of a small, complete deployment, typed on a terminal.
constexpr const char *smallDeployment = "urgent\n0\n\n\n\n\n"
                                        "dc-1\nnorth\n\n"
                                        "acme\n100\n1000\n\n"
                                        "desk\nplain\n/desk\nno\nno\nurgent\n\n\n"
                                        "desk-1\ndesk\ndc-1\nplain\n10.0.0.1:80\n\n\n\n";

} // namespace

TEST_GROUP(answers) {};

// Guards against examples that a new team copies and that are refused, or that describe another deployment.
TEST(answers, ofTheExamplesAreComplete)
{
    const auto first = loadAnswers(kavakli);
    CHECK_TRUE(first.has_value());
    CHECK_EQUAL(9U, countEndpoints(first.value(), "dil-hat"));
    CHECK_EQUAL(4U, countEndpoints(first.value(), "rezerv-servis"));
    CHECK_EQUAL(4U, first.value().dataCentres.size());
    CHECK_EQUAL(5U, first.value().workspaces.size());
    CHECK_FALSE(first.value().services.at(service_id("rezerv-servis")).isRetryable);
    const auto second = loadAnswers(cascadia);
    CHECK_TRUE(second.has_value());
    CHECK_EQUAL(18U, countEndpoints(second.value(), "valve-scribe"));
    CHECK_EQUAL(3U, countEndpoints(second.value(), "counter-desk"));
    CHECK_EQUAL(3U, second.value().dataCentres.size());
}

// Guards against a broken file that ends the tool with a crash or an error that does not say where to look.
TEST(answers, withMutatedBytesAreValueErrors)
{
    const std::string text = readTextFile(kavakli).value();
    CHECK_PROPERTY("mutated bytes are refused with the file's name or still read", [&text] {
        std::string mutated = text;
        const int changes = *rc::gen::inRange(1, 8);
        for (int i = 0; i < changes; ++i) {
            const auto at = *rc::gen::inRange<std::size_t>(0, mutated.size());
            mutated[at] = *rc::gen::arbitrary<char>();
        }
        mutated.resize(*rc::gen::element(mutated.size(), mutated.size() / 2));
        const auto parsed = parseAnswersText(mutated, "a.json");
        if (parsed.has_error()) {
            RC_ASSERT(parsed.error().message.starts_with("a.json: line "));
            return;
        }
        for (const finding &fault : readAnswers(parsed.value()).findings) {
            RC_ASSERT(!fault.found.empty() && !fault.allowed.empty());
        }
    });
}

// Guards against a wrong value that is taken over, or whose error names another place.
TEST(answers, withAWrongValueNameItsPlace)
{
    const nlohmann::json wrong[] = {nullptr, -1, 1.5, "no such", nlohmann::json::array(), nlohmann::json::object(), std::string("a\xff")};
    CHECK_PROPERTY("a wrong value is found at its pointer", [&wrong] {
        nlohmann::json answers = exampleAnswers();
        const std::string section =
            *rc::gen::element<std::string>("urgency_classes", "data_centres", "workspaces", "services", "endpoints");
        const auto index = *rc::gen::inRange<std::size_t>(0, answers[section].size());
        nlohmann::json &entry = answers[section][index];
        const auto field = *rc::gen::inRange<std::size_t>(0, entry.size());
        const std::string key = std::next(entry.begin(), static_cast<std::ptrdiff_t>(field)).key();
        const nlohmann::json value = wrong[*rc::gen::inRange<std::size_t>(0, std::size(wrong))];
        entry[key] = value;
        const answers_result result = readAnswers(answers);
        RC_ASSERT(!result.findings.empty());
        RC_ASSERT(result.findings.front().pointer == "/" + section + "/" + std::to_string(index) + "/" + key);
    });
}

// Guards against a typing error in a key that silently leaves a default in force.
TEST(answers, withAnUnknownKeyAreRefused)
{
    nlohmann::json answers = exampleAnswers();
    answers["workspaces"][0]["token_per_second"] = 5;
    const auto findings = readAnswers(answers).findings;
    CHECK_EQUAL(1U, findings.size());
    STRCMP_EQUAL("/workspaces/0", findings.front().pointer.c_str());
}

// Guards against a deployment in which accepted calls could never be answered.
TEST(answers, needADecodeEndpointForAModel)
{
    nlohmann::json answers = exampleAnswers();
    auto &endpoints = answers["endpoints"];
    for (std::size_t i = endpoints.size(); i > 0; --i) {
        if (endpoints[i - 1]["role"] == "decode") {
            endpoints.erase(i - 1);
        }
    }
    const auto findings = readAnswers(answers).findings;
    CHECK_EQUAL(1U, findings.size());
    STRCMP_EQUAL("/services/dil-hat", findings.front().pointer.c_str());
}

TEST_GROUP(questionnaires) {};

// Guards against answers that are lost when the terminal closes, at any line, and against asking for them again.
TEST(questionnaires, goOnWhereTheyWereCutOff)
{
    std::istringstream whole(smallDeployment);
    std::ostringstream screen;
    questionnaire once(whole, screen, nlohmann::json::object(), [](const nlohmann::json &) -> outcome<void> { return success(); });
    CHECK_TRUE(once.run().has_value());
    CHECK_TRUE(readAnswers(once.answers()).findings.empty());

    CHECK_PROPERTY("a questionnaire that is cut off and resumed ends like one that is not", [&once] {
        const std::string text = smallDeployment;
        const std::size_t cut = text.find('\n', *rc::gen::inRange<std::size_t>(0, text.size() - 1)) + 1;
        nlohmann::json saved = nlohmann::json::object();
        const auto save = [&saved](const nlohmann::json &answers) -> outcome<void> {
            saved = answers;
            return success();
        };
        std::istringstream start(text.substr(0, cut));
        std::ostringstream ignored;
        questionnaire interrupted(start, ignored, saved, save);
        RC_PRE(interrupted.run().has_error());
        // Sections that were ended are asked once more for a next entry; Enter ends them again.
        const std::string enters(interrupted.answers().size() - 1, '\n');
        std::istringstream rest(enters + text.substr(cut));
        questionnaire resumed(rest, ignored, saved, save);
        RC_ASSERT(resumed.run().has_value());
        RC_ASSERT(saved == once.answers());
    });
}

// Guards against a wrong answer that is taken over or refused without saying how to mend it.
TEST(questionnaires, sayHowToMendAnAnswer)
{
    std::istringstream in("Big Name\nurgent\nvery\n0\n");
    std::ostringstream screen;
    questionnaire asked(in, screen, nlohmann::json::object(), [](const nlohmann::json &) -> outcome<void> { return success(); });
    CHECK_TRUE(asked.run().has_error());
    STRCMP_CONTAINS("'Big Name' cannot be a name. Use 1 to 64 lower-case letters", screen.str().c_str());
    STRCMP_CONTAINS("'very' cannot be the answer. Give a whole number from 0 to 100.", screen.str().c_str());
    CHECK_EQUAL(0, asked.answers()["urgency_classes"][0]["priority"].get<int>());
}
