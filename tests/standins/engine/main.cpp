// Stand-in for a language-model engine. Prints "listening <ip:port>" and serves until it is terminated.

#include "simulated_engine.h"

#include <iostream>

#include <boost/program_options.hpp>
#include <glog/logging.h>

using namespace burdockshelf;

namespace
{

engine_settings readSettings(int argc, char **argv)
{
    namespace po = boost::program_options;
    engine_settings s;
    po::options_description options;
    const auto text = [&](const char *name, std::string &value) {
        options.add_options()(name, po::value(&value));
    };
    const auto whole = [&](const char *name, int &value) {
        options.add_options()(name, po::value(&value));
    };
    const auto number = [&](const char *name, double &value) {
        options.add_options()(name, po::value(&value));
    };
    text("listen", s.listen);
    text("name", s.name);
    text("role", s.role);
    text("model", s.model);
    whole("slots", s.slots);
    whole("prompt-tokens-per-step", s.promptTokensPerStep);
    whole("bytes-per-token", s.bytesPerToken);
    whole("kv-blocks", s.kvBlocks);
    whole("block-tokens", s.blockTokens);
    whole("cache-chunks", s.cacheChunks);
    whole("cold-capacity", s.coldCapacity);
    number("time-scale", s.timeScale);
    number("step-base-ms", s.stepBase);
    number("step-per-sequence-ms", s.stepPerSequence);
    number("prompt-token-ms", s.promptToken);
    number("export-lifetime-ms", s.exportLifetime);
    number("resume-ms", s.resumeTime);
    number("load-lag-ms", s.loadLag);
    number("link-tokens-per-second", s.linkTokensPerSecond);
    number("collapse-factor", s.collapseFactor);
    options.add_options()("warm", po::bool_switch(&s.isWarm))("ignore-fencing", po::bool_switch(&s.ignoresFencing));
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    po::notify(values);
    return s;
}

} // namespace

int main(int argc, char **argv)
{
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    event_loop loop;
    simulated_engine engine(loop, readSettings(argc, argv));
    const auto bound = engine.listen();
    if (!bound) {
        std::cerr << bound.error() << std::endl;
        return 1;
    }
    std::cout << "listening " << bound.value() << std::endl;
    loop.run();
    return 0;
}
