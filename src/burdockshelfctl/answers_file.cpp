#include "burdockshelfctl/answers_file.h"

#include "burdockshelfctl/answers_reader.h"
#include "burdockshelfctl/text_file.h"

namespace burdockshelf
{

outcome<configuration> loadAnswers(const std::string &path)
{
    BOOST_OUTCOME_TRY(text, readTextFile(path));
    BOOST_OUTCOME_TRY(parsed, parseAnswersText(text, path));
    const answers_result result = readAnswers(parsed);
    if (result.findings.empty()) {
        return result.config;
    }
    return failure(error_code::invalid_settings, joinFindings(result.findings, path));
}

} // namespace burdockshelf
