#pragma once

#include "burdockshelfctl/finding.h"
#include "core/outcome.h"
#include "state/configuration.h"

#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace burdockshelf
{

/// The configuration that answers lead to, and every fault found on the way. Version 0: the configuration is not based on one in force.
struct answers_result
{
    configuration config;
    std::vector<finding> findings;
};

/// Parses the text of an answers file. A syntax error is one line with file, line and column.
outcome<nlohmann::json> parseAnswersText(std::string_view text, const std::string &fileName);

/// Reads parsed answers entry by entry; entries with a fault are left out of the configuration.
answers_result readAnswers(const nlohmann::json &answers);

/// An answer as it would be typed: a string without quotes, a whole number or true and false. Empty, which is never allowed, for null,
/// fractions, lists and objects, so that none of them passes for a name.
std::string answerText(const nlohmann::json &value);

} // namespace burdockshelf
