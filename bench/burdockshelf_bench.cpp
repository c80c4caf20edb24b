// Load and experiment tool. Each command starts deployments on loopback, measures them, ends them, and prints one JSON object a line.

#include "cost/idle_study.h"
#include "cost/request_study.h"
#include "load/scenario_run.h"

#include <array>
#include <cstdio>
#include <cstdlib>
#include <iostream>

#include <boost/outcome/try.hpp>
#include <boost/program_options.hpp>
#include <glog/logging.h>

namespace
{

using namespace burdockshelf;
using nlohmann::json;
namespace po = boost::program_options;

struct bench_options
{
    std::string command;
    std::vector<std::string> scenarios;
    std::vector<std::uint64_t> seeds;
    std::string side;
    bool hasTable = false;
};

// The load average tells how busy the machine was with other work.
void printLine(json line)
{
    std::array<double, 3> loads {};
    if (getloadavg(loads.data(), static_cast<int>(loads.size())) > 0) {
        line["load_average"] = loads[0];
    }
    std::cout << line.dump() << std::endl;
}

void printTable(const std::vector<json> &lines)
{
    std::printf("| scenario | side | seed | offered | whole | good | worst/mean | refused within rate | wasted prefill | longest gap s | "
                "p95 first token ms | p95 between tokens ms |\n|---|---|---|---|---|---|---|---|---|---|---|---|\n");
    for (const json &line : lines) {
        std::printf("| %s | %s | %lld | %lld | %lld | %lld | %.2f/%.2f | %lld | %.1f%% | %.2f | %.0f | %.1f |\n",
                    line["scenario"].get<std::string>().c_str(),
                    line["side"].get<std::string>().c_str(),
                    line["seed"].get<long long>(),
                    line["offered"].get<long long>(),
                    line["whole"].get<long long>(),
                    line["good"].get<long long>(),
                    line["worst_share"].get<double>(),
                    line["mean_share"].get<double>(),
                    line["refused_within_rate"].get<long long>(),
                    100 * line["wasted_prefill_share"].get<double>(),
                    line["longest_gap_s"].get<double>(),
                    line["first_token_ms"]["p95"].get<double>(),
                    line["between_tokens_ms"]["p95"].get<double>());
    }
}

outcome<void> runScenarios(event_loop &loop, const bench_options &options)
{
    std::vector<json> lines;
    for (const std::string &file : options.scenarios) {
        BOOST_OUTCOME_TRY(what, readScenario(file));
        for (const std::uint64_t seed : options.seeds) {
            for (const run_side side : {run_side::product, run_side::baseline}) {
                if (options.side != "both" && (options.side == "product") != (side == run_side::product)) {
                    continue;
                }
                BOOST_OUTCOME_TRY(line, scenario_run(loop, what, side, seed).run());
                printLine(line);
                lines.push_back(line);
            }
        }
    }
    if (options.hasTable) {
        printTable(lines);
    }
    return success();
}

outcome<void> runIdle(event_loop &loop, const bench_options & /*options*/)
{
    BOOST_OUTCOME_TRY(slopes, idle_study(loop).run());
    slopes["command"] = "slopes-idle";
    printLine(slopes);
    return success();
}

outcome<void> runRequests(event_loop &loop, const bench_options &options)
{
    for (const std::uint64_t seed : options.seeds) {
        BOOST_OUTCOME_TRY(slopes, request_study(loop, seed).run());
        slopes["command"] = "slopes-requests";
        slopes["seed"] = seed;
        printLine(slopes);
    }
    return success();
}

struct bench_command
{
    const char *name;
    const char *summary;
    outcome<void> (*run)(event_loop &, const bench_options &);
};

constexpr std::array commands = {
    bench_command {"run", "runs scenario files for each seed, the product and then the baseline", &runScenarios},
    bench_command {"slopes-idle", "what an idle daemon uses against members, endpoints and workspaces", &runIdle},
    bench_command {
        "slopes-requests", "what a daemon uses for requests, token events and open streams, and the latency it adds", &runRequests},
};

int runCommand(const bench_options &options)
{
    for (const bench_command &command : commands) {
        if (options.command != command.name) {
            continue;
        }
        event_loop loop;
        const auto done = command.run(loop, options);
        if (!done) {
            std::cerr << done.error() << "\n";
            return EXIT_FAILURE;
        }
        return EXIT_SUCCESS;
    }
    std::cerr << "unknown command '" << options.command << "'; see --help\n";
    return EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    bench_options chosen;
    po::options_description description("Options");
    description.add_options()("help,h", "print this text")("command", po::value(&chosen.command)->default_value("run"), "see above")(
        "scenario", po::value(&chosen.scenarios)->multitoken(), "scenario files of 'run'")(
        "seed", po::value(&chosen.seeds)->multitoken()->default_value({1, 2}, "1 2"), "seeds of the load")(
        "side", po::value(&chosen.side)->default_value("both"), "product, baseline or both")(
        "table", po::bool_switch(&chosen.hasTable), "print a table after the JSON lines of 'run'");
    po::positional_options_description positions;
    positions.add("command", 1).add("scenario", -1);
    po::variables_map values;
    try {
        po::store(po::command_line_parser(argc, argv).options(description).positional(positions).run(), values);
        po::notify(values);
    } catch (const po::error &problem) {
        std::cerr << problem.what() << "\n";
        return EXIT_FAILURE;
    }
    if (values.contains("help")) {
        std::cout << "usage: burdockshelf_bench COMMAND [SCENARIO...] [OPTIONS]\n\nCommands:\n";
        for (const bench_command &command : commands) {
            std::cout << "  " << command.name << ": " << command.summary << "\n";
        }
        std::cout << "\n" << description;
        return EXIT_SUCCESS;
    }
    return runCommand(chosen);
}
