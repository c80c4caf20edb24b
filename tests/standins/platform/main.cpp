#include "standins/platform/standin_platform.h"

#include <iostream>

#include <boost/program_options.hpp>
#include <sysexits.h>

using namespace burdockshelf;

// The platform's stand-in: prints "listening <ip:port>" once it takes requests, and runs until it is killed.
int main(int argc, char **argv)
{
    namespace options = boost::program_options;
    std::string listen;
    log_retention retention;
    std::int64_t ageSeconds = 0;
    options::options_description description("standin_platform");
    auto add = description.add_options();
    add("listen", options::value(&listen)->default_value("127.0.0.1:0"), "ip:port, port 0 for any");
    add("retention-records", options::value(&retention.records)->default_value(retention.records), "records that the log keeps");
    add("retention-s", options::value(&ageSeconds)->default_value(86'400), "seconds that the log keeps a record");
    options::variables_map values;
    try {
        options::store(options::parse_command_line(argc, argv, description), values);
        options::notify(values);
    } catch (const options::error &failure) {
        std::cerr << failure.what() << '\n' << description;
        return EX_USAGE;
    }
    retention.age = std::chrono::seconds(ageSeconds);

    const auto address = socket_address::parse(listen);
    if (!address) {
        std::cerr << "standin_platform: --listen: " << address.error() << '\n';
        return EX_USAGE;
    }
    event_loop loop;
    standin_platform platform(loop, retention);
    const auto bound = platform.listen(address.value());
    if (!bound) {
        std::cerr << "standin_platform: " << bound.error() << '\n';
        return EX_UNAVAILABLE;
    }
    std::cout << "listening " << bound.value() << std::endl;
    loop.run();
    return EX_OK;
}
