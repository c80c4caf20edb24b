#include "burdockshelfd/daemon_settings.h"
#include "burdockshelfd/instance_tree.h"
#include "runtime/event_loop.h"

#include <csignal>
#include <cstdlib>
#include <iostream>
#include <sysexits.h>

#include <boost/program_options.hpp>
#include <event2/event.h>
#include <glog/logging.h>

namespace
{

using namespace burdockshelf;

constexpr const char *helpText = R"(Usage: burdockshelfd --settings FILE [--check]

Routes the requests of callers to prefill, decode and plain endpoints.
SIGTERM and SIGINT end it gracefully.

Examples:
  burdockshelfd --settings /etc/burdockshelf/settings.json
  burdockshelfd --settings settings.json --check

Exit status: 0 done, 1 failed, 64 usage, 78 bad settings.
)";

struct signal_context
{
    instance_tree *tree;
};

void onSignal(evutil_socket_t /*number*/, short /*what*/, void *context)
{
    static_cast<signal_context *>(context)->tree->beginShutdown();
}

int run(const daemon_settings &settings)
{
    event_loop loop;
    int status = EXIT_SUCCESS;
    instance_tree tree(loop, settings, [&](int result) {
        status = result;
        loop.stop();
    });
    signal_context context = {&tree};
    event *terminate = evsignal_new(loop.base(), SIGTERM, &onSignal, &context);
    event *interrupt = evsignal_new(loop.base(), SIGINT, &onSignal, &context);
    event_add(terminate, nullptr);
    event_add(interrupt, nullptr);
    const auto started = tree.start();
    if (started) {
        loop.run();
    } else {
        LOG(ERROR) << "supervisor: the start failed: " << started.error() << ".";
        status = EXIT_FAILURE;
    }
    event_free(terminate);
    event_free(interrupt);
    return status;
}

} // namespace

int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    options::options_description description("Options");
    description.add_options()("help,h", "show this text")("version", "show the version")(
        "settings,s", options::value<std::string>(), "the settings file, JSON")("check", "check the settings and exit");
    options::variables_map chosen;
    try {
        options::store(options::parse_command_line(argc, argv, description), chosen);
    } catch (const options::error &failure) {
        std::cerr << "burdockshelfd: " << failure.what() << "\n" << helpText;
        return EX_USAGE;
    }
    if (chosen.count("help") > 0) {
        std::cout << helpText << description;
        return EXIT_SUCCESS;
    }
    if (chosen.count("version") > 0) {
        std::cout << "burdockshelfd " << BURDOCKSHELF_VERSION << "\n";
        return EXIT_SUCCESS;
    }
    if (chosen.count("settings") == 0) {
        std::cerr << "burdockshelfd: --settings is missing\n" << helpText;
        return EX_USAGE;
    }
    const auto settings = loadSettings(chosen["settings"].as<std::string>());
    if (!settings) {
        std::cerr << "burdockshelfd: " << settings.error().message << "\n";
        return EX_CONFIG;
    }
    if (chosen.count("check") > 0) {
        std::cout << "the settings are valid\n";
        return EXIT_SUCCESS;
    }
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    std::signal(SIGPIPE, SIG_IGN);
    return run(settings.value());
}
