#pragma once

// The main function of a test program. Included once, last, by the program's main.cpp. RapidCheck's registration trips CppUTest's leak
// detector, so that is off here; leaks are found by the sanitizer build.

#include <glog/logging.h>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

int main(int argc, char **argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    google::InitGoogleLogging(argv[0]);
    FLAGS_logtostderr = true;
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
