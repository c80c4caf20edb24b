#include "burdockshelfctl/command_line.h"

#include <sstream>

#include <boost/program_options.hpp>

namespace burdockshelf
{

namespace
{

namespace po = boost::program_options;

constexpr std::int64_t longestWaitSeconds = 3600;

po::options_description describeOptions()
{
    po::options_description described("Options");
    auto add = described.add_options();
    add("answers", po::value<std::string>(), "answers file to read");
    add("to", po::value<std::string>(), "file to write instead of standard output");
    add("html", po::value<std::string>(), "file for the HTML page of a report");
    add("output", po::value<std::string>()->default_value("text"), "text or json");
    add("platform", po::value<std::string>(), "ip:port of the platform's log; default: the environment variable BURDOCKSHELF_PLATFORM");
    add("instance", po::value<std::vector<std::string>>()->composing(), "ip:port of an instance's operators' port; may be repeated");
    add("based-on", po::value<std::int64_t>(), "version that the document was made from; publish refuses when another one is in force");
    add("wait", po::bool_switch(), "wait until all given instances have read the change");
    add("wait-limit", po::value<std::int64_t>()->default_value(30), "seconds to wait at most");
    add("in-advance", po::bool_switch(), "withdraw also a key that is not in the log, because its grant may still arrive");
    add("old-instances-are-off", po::bool_switch(), "confirms that the old instances of the data centre are switched off");
    add("help,h", po::bool_switch(), "show this help, or with a command the help of that command");
    add("version", po::bool_switch(), "show the version");
    return described;
}

outcome<po::variables_map> parseWords(const std::vector<std::string> &words)
{
    po::options_description all = describeOptions();
    all.add_options()("words", po::value<std::vector<std::string>>());
    po::positional_options_description positional;
    positional.add("words", -1);
    // Boost.Program_options reports by exceptions; they end here.
    try {
        po::variables_map values;
        const int style = po::command_line_style::default_style & ~po::command_line_style::allow_guessing;
        po::store(po::command_line_parser(words).options(all).positional(positional).style(style).run(), values);
        po::notify(values);
        return values;
    } catch (const po::error &problem) {
        return failure(error_code::invalid_argument, std::string(problem.what()) + "; see burdockshelfctl --help");
    }
}

std::string textOf(const po::variables_map &values, const char *name)
{
    return values.count(name) == 0 ? std::string() : values[name].as<std::string>();
}

std::vector<std::string> listOf(const po::variables_map &values, const char *name)
{
    return values.count(name) == 0 ? std::vector<std::string>() : values[name].as<std::vector<std::string>>();
}

outcome<socket_address> addressOf(const char *option, const std::string &text)
{
    const auto parsed = socket_address::parse(text);
    if (parsed.has_error()) {
        return failure(error_code::invalid_argument, std::string(option) + ": " + parsed.error().message);
    }
    return parsed.value();
}

outcome<void> readFormat(const po::variables_map &values, tool_options &options)
{
    const std::string format = textOf(values, "output");
    if (format != "text" && format != "json") {
        return failure(error_code::invalid_argument, "--output: '" + format + "' is neither text nor json");
    }
    options.output = format == "json" ? output_format::json : output_format::text;
    return success();
}

outcome<void> readAddresses(const po::variables_map &values, const std::optional<std::string> &platformVariable, tool_options &options)
{
    const bool isOptionGiven = values.count("platform") > 0;
    if (isOptionGiven || platformVariable) {
        const char *source = isOptionGiven ? "--platform" : "BURDOCKSHELF_PLATFORM";
        BOOST_OUTCOME_TRY(platform, addressOf(source, isOptionGiven ? textOf(values, "platform") : *platformVariable));
        options.platform = platform;
    }
    for (const std::string &text : listOf(values, "instance")) {
        BOOST_OUTCOME_TRY(instance, addressOf("--instance", text));
        options.instances.push_back(instance);
    }
    return success();
}

outcome<void> readWait(const po::variables_map &values, tool_options &options)
{
    const std::int64_t seconds = values["wait-limit"].as<std::int64_t>();
    if (seconds < 1 || seconds > longestWaitSeconds) {
        return failure(error_code::invalid_argument,
                       "--wait-limit: " + std::to_string(seconds) + " is not a whole number from 1 to "
                           + std::to_string(longestWaitSeconds));
    }
    options.waitLimit = std::chrono::seconds(seconds);
    options.isWaiting = values["wait"].as<bool>();
    if (options.isWaiting && options.instances.empty()) {
        return failure(error_code::invalid_argument, "--wait needs the instances to wait for; name each with --instance ip:port");
    }
    return success();
}

outcome<void> readBase(const po::variables_map &values, tool_options &options)
{
    if (values.count("based-on") == 0) {
        return success();
    }
    const std::int64_t version = values["based-on"].as<std::int64_t>();
    if (version < 0) {
        return failure(error_code::invalid_argument, "--based-on: " + std::to_string(version) + " is not a whole number from 0");
    }
    options.basedOn = configuration_version(version);
    return success();
}

outcome<void> readCommand(const std::vector<std::string> &words, command_line &line)
{
    if (words.empty()) {
        return success();
    }
    line.chosen = findCommand(words);
    if (line.chosen == nullptr) {
        return failure(error_code::invalid_argument, "'" + words.front() + "' is not a command; see burdockshelfctl --help");
    }
    line.options.arguments.assign(words.begin() + static_cast<std::ptrdiff_t>(wordCount(*line.chosen)), words.end());
    const std::size_t given = line.options.arguments.size();
    const std::size_t needed = line.chosen->argumentCount;
    const bool isComplete = line.chosen->isOpenEnded ? given + 1 >= needed : given == needed;
    if (!isComplete && !line.options.isHelpWanted) {
        return failure(error_code::invalid_argument,
                       "usage: burdockshelfctl " + std::string(line.chosen->name) + " " + std::string(line.chosen->arguments));
    }
    return success();
}

} // namespace

outcome<command_line> parseCommandLine(const std::vector<std::string> &words, const std::optional<std::string> &platformVariable)
{
    BOOST_OUTCOME_TRY(values, parseWords(words));
    command_line line;
    line.isVersionWanted = values["version"].as<bool>();
    line.options.isHelpWanted = values["help"].as<bool>();
    line.options.answersFile = textOf(values, "answers");
    line.options.toFile = textOf(values, "to");
    line.options.htmlFile = textOf(values, "html");
    line.options.isOldInstancesOff = values["old-instances-are-off"].as<bool>();
    line.options.isInAdvance = values["in-advance"].as<bool>();
    BOOST_OUTCOME_TRY(readFormat(values, line.options));
    BOOST_OUTCOME_TRY(readAddresses(values, platformVariable, line.options));
    BOOST_OUTCOME_TRY(readWait(values, line.options));
    BOOST_OUTCOME_TRY(readBase(values, line.options));
    BOOST_OUTCOME_TRY(readCommand(listOf(values, "words"), line));
    return line;
}

std::string generalHelp()
{
    std::ostringstream text;
    text << "usage: burdockshelfctl COMMAND [ARGUMENTS] [OPTIONS]\n\nCommands:\n";
    for (const command &listed : commandTable()) {
        text << "  " << listed.name << (listed.arguments.empty() ? "" : " ") << listed.arguments << "\n      " << listed.help << '\n';
    }
    text << '\n' << describeOptions() << "\nburdockshelfctl COMMAND --help shows examples.\n";
    return text.str();
}

std::string commandHelp(const command &shown)
{
    std::ostringstream text;
    text << "usage: burdockshelfctl " << shown.name << (shown.arguments.empty() ? "" : " ") << shown.arguments << " [OPTIONS]\n\n"
         << shown.help << "\n\nExamples:\n";
    for (const std::string_view line : shown.examples) {
        text << "  " << line << '\n';
    }
    text << '\n' << describeOptions();
    return text.str();
}

} // namespace burdockshelf
