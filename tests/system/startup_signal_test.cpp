#include "site/child_process.h"
#include "support/scratch_folder.h"

#include <csignal>
#include <thread>

#include <CppUTest/TestHarness.h>
#include <sys/stat.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

TEST_GROUP(startup_signal) {};

// SIGTERM before the event loop handles signals ended a gateway with status 143 instead of 0. Settings in a pipe that nobody writes to keep
// the process in its startup.
TEST(startup_signal, endsTheStartupWithStatusZero)
{
    const scratch_folder scratch;
    const std::string settings = scratch.path("settings");
    LONGS_EQUAL(0, ::mkfifo(settings.c_str(), 0600));
    auto started = child_process::start("burdockshelfd", {"--platform", "--settings", settings}, scratch.path("errors"));
    CHECK_TRUE(started.has_value());
    std::this_thread::sleep_for(500ms);
    started.value().signal(SIGTERM);
    const auto status = started.value().wait(5s);
    CHECK_TRUE(status.has_value());
    LONGS_EQUAL(0, status.value());
}
