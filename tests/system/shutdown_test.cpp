#include "deployment_test.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>

using namespace burdockshelf;

TEST_GROUP_BASE(shutdown, deployment_test) {};

// Guards against a shutdown that cuts streams, accepts requests that it does not answer, or does not end (P11).
TEST(shutdown, finishesEveryStream)
{
    constexpr int streams = 4;
    constexpr int tokens = 200;
    site_instance &leaving = running().instance(3);
    std::vector<std::unique_ptr<caller>> callers;
    for (int i = 0; i < streams; ++i) {
        callers.push_back(running().callerAt(leaving));
        callers.back()->startStream("List the trains of day " + std::to_string(i), tokens);
    }
    for (const auto &each : callers) {
        CHECK_SEEN(running().waitFor([&] { return each->events() > 0; }), each->description());
    }
    leaving.process.signal(SIGTERM);
    std::optional<int> status;
    const bool hasEnded = running().waitFor([&] {
        const auto late = running().callerAt(leaving);
        late->startStream("Is there a train?", 1);
        running().waitFor([&] { return late->isDone(); });
        CHECK_SEEN(late->isWhole() || late->status() == 503 || late->status() == 0, late->description());
        const auto ended = leaving.process.wait(std::chrono::milliseconds(0));
        status = ended ? std::optional<int>(ended.value()) : std::nullopt;
        return status.has_value();
    });
    CHECK_SEEN(hasEnded, "the daemon has not ended");
    LONGS_EQUAL(EXIT_SUCCESS, *status);
    for (const auto &each : callers) {
        CHECK_SEEN(each->isDone() && each->isWhole() && each->events() >= tokens, each->description());
    }
    const auto restarted = running().processes().restart(leaving);
    CHECK_SEEN(restarted.has_value(), restarted.error().message);
    CHECK_SEEN(running().waitFor([&] { return running().areRostersWhole() && running().doAllServe(); }), running().lastAnswer());
}
