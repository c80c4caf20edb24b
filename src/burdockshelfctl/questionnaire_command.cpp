#include "burdockshelfctl/answers_file.h"
#include "burdockshelfctl/answers_reader.h"
#include "burdockshelfctl/commands.h"
#include "burdockshelfctl/questionnaire.h"
#include "burdockshelfctl/text_file.h"

namespace burdockshelf
{

namespace
{

outcome<nlohmann::json> existingAnswers(const std::string &path)
{
    if (!isExistingFile(path)) {
        return nlohmann::json::object();
    }
    BOOST_OUTCOME_TRY(text, readTextFile(path));
    return parseAnswersText(text, path);
}

exit_status checkOnly(const command_context &context, const std::string &path)
{
    const auto loaded = loadAnswers(path);
    if (loaded.has_error()) {
        return context.fail(loaded.error());
    }
    context.err << path << ": the answers are complete.\n";
    return exit_status::done;
}

} // namespace

exit_status runQuestionnaire(command_context &context)
{
    if (!context.options.answersFile.empty()) {
        return checkOnly(context, context.options.answersFile);
    }
    const std::string &path = context.options.toFile;
    if (path.empty()) {
        return context.fail({error_code::invalid_argument, "name the file for the answers with --to FILE"});
    }
    const auto existing = existingAnswers(path);
    if (existing.has_error()) {
        return context.fail(existing.error());
    }
    constexpr int indent = 2;
    questionnaire questions(context.in, context.out, existing.value(), [&path](const nlohmann::json &answers) {
        return writeTextFile(path, answers.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
    });
    const auto finished = questions.run();
    if (finished.has_error()) {
        return context.fail(finished.error());
    }
    return checkOnly(context, path);
}

} // namespace burdockshelf
