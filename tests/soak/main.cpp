#include "soak_run.h"

#include <csignal>
#include <iostream>

#include <boost/program_options.hpp>
#include <unistd.h>

namespace
{

constexpr int exitFinding = 1;
constexpr int exitUsage = 64;

} // namespace

/// Plays one seed and prints what was broken. Exit status 1 when a promise was.
int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    using namespace burdockshelf;
    soak_plan plan;
    std::int64_t seconds = plan.faultTime.count();
    po::options_description described("Options");
    auto add = described.add_options();
    add("seed", po::value(&plan.seed)->default_value(plan.seed), "number that the faults follow");
    add("seconds", po::value(&seconds)->default_value(seconds), "how long faults are injected");
    add("gateways", po::value(&plan.gateways)->default_value(plan.gateways), "processes under test");
    add("spacing", po::value(&plan.faultSpacing)->default_value(plan.faultSpacing), "factor of the time between faults");
    add("logs", po::value(&plan.logFolder), "folder for the logs of the processes");
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, described), values);
        po::notify(values);
    } catch (const po::error &problem) {
        std::cerr << problem.what() << '\n' << described;
        return exitUsage;
    }
    std::signal(SIGPIPE, SIG_IGN);
    // The gateways are in this process's group, and nothing else is: none is left behind when the soak is ended from outside.
    ::setpgid(0, 0);
    for (const int ending : {SIGTERM, SIGINT}) {
        std::signal(ending, [](int) { ::kill(0, SIGKILL); });
    }
    plan.faultTime = std::chrono::seconds(seconds);
    soak_run soak(plan);
    const auto ran = soak.run();
    if (!ran) {
        std::cerr << "seed " << plan.seed << ": " << ran.error() << '\n';
        return exitFinding;
    }
    std::cout << "seed " << plan.seed << ": " << soak.requestCount() << " requests, " << soak.answeredCount() << " answered with 200, "
              << soak.judgedCount() << " judged by their configuration, " << soak.judge().faults().size() << " faults, "
              << soak.judge().findings().size() << " findings\n";
    for (const std::string &finding : soak.judge().findings()) {
        std::cout << "  " << finding << '\n';
    }
    if (!soak.judge().findings().empty()) {
        for (const std::string &fault : soak.judge().faults()) {
            std::cout << "  fault: " << fault << '\n';
        }
    }
    return soak.judge().findings().empty() ? 0 : exitFinding;
}
