#include "burdockshelfd/daemon_settings.h"
#include "burdockshelfd/instance_tree.h"
#include "gateway/gateway_tree.h"
#include "platform/platform.h"
#include "runtime/event_loop.h"

#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <string>
#include <sysexits.h>
#include <utility>

#include <boost/program_options.hpp>
#include <event2/event.h>
#include <glog/logging.h>
#include <malloc.h>
#include <unistd.h>

namespace
{

using namespace burdockshelf;

constexpr const char *helpText = R"(Usage: burdockshelfd --settings FILE [--check]
       burdockshelfd --platform [--settings FILE] [--check]

Routes the requests of callers to prefill, decode and plain endpoints.
With --platform it does so as a gateway on the users' platform, with the
settings file that the environment names unless --settings does.
SIGTERM and SIGINT end it gracefully; SIGHUP cuts nothing.

Examples:
  burdockshelfd --settings /etc/burdockshelf/settings.json
  burdockshelfd --settings settings.json --check

Exit status: 0 done, 1 failed, 64 usage, 78 bad settings.
)";

constexpr int mmapThresholdBytes = 128 * 1024;

/// Ends a process that is asked to stop before its event loop handles signals; it has accepted nothing yet.
extern "C" void endStartup(int /*number*/)
{
    _exit(EXIT_SUCCESS);
}

/// Handles a signal on the event loop during the lifetime of the object.
class signal_handler
{
public:
    signal_handler(event_loop &loop, int number, std::function<void()> onSignal)
        : m_onSignal(std::move(onSignal))
        , m_event(evsignal_new(loop.base(), number, &signal_handler::fire, this))
    {
        event_add(m_event, nullptr);
    }

    ~signal_handler()
    {
        event_free(m_event);
    }

    signal_handler(const signal_handler &) = delete;
    signal_handler &operator=(const signal_handler &) = delete;

private:
    static void fire(evutil_socket_t /*number*/, short /*what*/, void *self)
    {
        static_cast<signal_handler *>(self)->m_onSignal();
    }

    std::function<void()> m_onSignal;
    event *m_event;
};

int runLoop(event_loop &loop, const outcome<void> &started, const int &status)
{
    if (!started) {
        LOG(ERROR) << "supervisor: startup failed: " << started.error() << ".";
        return EXIT_FAILURE;
    }
    loop.run();
    return status;
}

int run(const daemon_settings &settings)
{
    event_loop loop;
    int status = EXIT_SUCCESS;
    instance_tree tree(loop, settings, [&](int result) {
        status = result;
        loop.stop();
    });
    const signal_handler terminate(loop, SIGTERM, [&] { tree.beginShutdown(); });
    const signal_handler interrupt(loop, SIGINT, [&] { tree.beginShutdown(); });
    return runLoop(loop, tree.start(), status);
}

int run(const gateway_settings &settings)
{
    // Without a fixed threshold the allocator raises it to the size of freed bodies and no longer returns their memory to the system.
    mallopt(M_MMAP_THRESHOLD, mmapThresholdBytes);
    mallopt(M_TRIM_THRESHOLD, 2 * mmapThresholdBytes);
    const platform_adapter platform;
    event_loop loop;
    int status = EXIT_SUCCESS;
    gateway_tree tree(loop, settings, platform.dialects(), STDOUT_FILENO, [&](int result) {
        status = result;
        loop.stop();
    });
    const signal_handler terminate(loop, SIGTERM, [&] { tree.beginShutdown(); });
    const signal_handler interrupt(loop, SIGINT, [&] { tree.beginShutdown(); });
    const signal_handler reload(loop, SIGHUP, [&] { tree.logIgnoredReload(); });
    return runLoop(loop, tree.start(), status);
}

/// Runs the daemon with the loaded settings, or only reports whether they are valid if isCheck is set.
template<typename Settings>
int loadAndRun(const outcome<Settings> &settings, bool isCheck, const char *program)
{
    if (!settings) {
        std::cerr << "burdockshelfd: " << settings.error().message << "\n";
        return EX_CONFIG;
    }
    if (isCheck) {
        std::cout << "the settings are valid\n";
        return EXIT_SUCCESS;
    }
    google::InitGoogleLogging(program);
    FLAGS_logtostderr = true;
    std::signal(SIGPIPE, SIG_IGN);
    return run(settings.value());
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGTERM, endStartup);
    std::signal(SIGINT, endStartup);
    namespace options = boost::program_options;
    options::options_description description("Options");
    description.add_options()("help,h", "show this text")("version", "show the version")(
        "settings,s", options::value<std::string>(), "the settings file, JSON")("platform", "run as a gateway on the users' platform")(
        "check", "check the settings and exit");
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
    const bool isCheck = chosen.count("check") > 0;
    const bool isGateway = chosen.count("platform") > 0;
    std::string file = chosen.count("settings") > 0 ? chosen["settings"].as<std::string>() : "";
    if (const char *named = std::getenv(platform_adapter::settingsPathVariable); file.empty() && isGateway && named != nullptr) {
        file = named;
    }
    if (file.empty()) {
        std::cerr << "burdockshelfd: --settings is missing\n" << helpText;
        return EX_USAGE;
    }
    return isGateway ? loadAndRun(loadGatewaySettings(file), isCheck, argv[0]) : loadAndRun(loadSettings(file), isCheck, argv[0]);
}
