#pragma once

// The main function of a test program. Included once, last, by the program's main.cpp. RapidCheck's registration trips CppUTest's leak
// detector, so that is off here; leaks are found by the sanitizer build.

#include <cstdlib>
#include <sstream>
#include <string>
#include <vector>

#include <glog/logging.h>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

/// Names of this program's tests that scripts/test passes over, from entries such as "gateway:isShared".
inline std::vector<std::string> knownRedTests(const std::string &program)
{
    std::vector<std::string> names;
    const char *listed = std::getenv("BURDOCKSHELF_KNOWN_RED");
    std::istringstream entries(listed == nullptr ? "" : listed);
    for (std::string entry; entries >> entry;) {
        const auto separator = entry.find(':');
        if (program.ends_with("/" + entry.substr(0, separator) + "_test")) {
            names.push_back(entry.substr(separator + 1));
        }
    }
    return names;
}

int main(int argc, char **argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    const std::vector<std::string> excluded = knownRedTests(argv[0]);
    std::vector<const char *> arguments(argv, argv + argc);
    for (const std::string &name : excluded) {
        arguments.push_back("-xsn");
        arguments.push_back(name.c_str());
    }
    return CommandLineTestRunner::RunAllTests(static_cast<int>(arguments.size()), arguments.data());
}
