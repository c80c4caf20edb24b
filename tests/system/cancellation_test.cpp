#include "deployment_test.h"

using namespace burdockshelf;

namespace
{

class cancellation_test : public deployment_test
{
protected:
    std::vector<std::unique_ptr<caller>> callersEverywhere(const std::string &prompt, int maxTokens)
    {
        std::vector<std::unique_ptr<caller>> callers;
        for (const site_instance &instance : running().processes().instances()) {
            callers.push_back(running().callerAt(instance));
            callers.back()->startStream(prompt + instance.name, maxTokens);
        }
        return callers;
    }

    void checkNothingIsHeld()
    {
        const bool isEmpty = running().waitFor([this] { return running().runningRequests() == 0 && running().heldBlocks() == 0; });
        CHECK_SEEN(isEmpty,
                   std::to_string(running().runningRequests()) + " requests still run and " + std::to_string(running().heldBlocks())
                       + " blocks are held");
    }
};

} // namespace

TEST_GROUP_BASE(cancellation, cancellation_test) {};

// Guards against engine memory that stays held by a request whose caller left before the first byte (P1).
TEST(cancellation, aCallerThatLeavesBeforeTheFirstByteFreesTheEngines)
{
    running().control("decode", {{"stall_streams", true}});
    const int aborted = running().engineCount("aborted");
    auto callers = callersEverywhere("Count the wagons of ", 200);
    CHECK_SEEN(running().waitFor([this] { return running().runningDecodes() == 4; }), "the engines do not decode the requests");
    for (const auto &each : callers) {
        CHECK_SEEN(each->events() == 0, each->description());
        each->leave();
    }
    checkNothingIsHeld();
    LONGS_EQUAL(aborted + 4, running().engineCount("aborted"));
    running().control("decode", {{"stall_streams", false}});
}

// Guards against engine memory that stays held by a request whose caller left in the middle of its stream (P1).
TEST(cancellation, aCallerThatLeavesItsStreamFreesTheEngines)
{
    const int aborted = running().engineCount("aborted");
    auto callers = callersEverywhere("Tell the long story of ", 2000);
    for (const auto &each : callers) {
        CHECK_SEEN(running().waitFor([&] { return each->events() >= 5; }), each->description());
    }
    for (const auto &each : callers) {
        CHECK_SEEN(!each->isDone(), each->description());
        each->leave();
    }
    checkNothingIsHeld();
    LONGS_EQUAL(aborted + 4, running().engineCount("aborted"));
}
