#include "burdockshelfd/readiness.h"

#include "runtime/event_loop.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;

TEST_GROUP(readinesses) {};

// Guards against a load balancer that sends requests to an instance that is starting, drained or shutting down.
TEST(readinesses, reportTheReasonForEachState)
{
    event_loop loop;
    const auto box = std::make_shared<mailbox<operations_message>>(loop, 100);
    std::vector<std::string> reported;
    box->attach([&](operations_message &&message) {
        const auto &change = std::get<readiness_changed>(message);
        reported.push_back(change.isReady ? "ready" : change.reason);
    });
    const instance_id self("i");
    readiness ready(self, data_centre_id("d"), address<operations_message>(box));
    state_view view;
    ready.setView(view);
    ready.setListening();
    view.config.version = configuration_version(1);
    ready.setView(view);
    ready.setView(view);
    view.drains[self] = {1, true};
    ready.setView(view);
    view.drains[self] = {2, false};
    view.drains[data_centre_id("d")] = {1, true};
    ready.setView(view);
    view.drains.clear();
    ready.setView(view);
    ready.setShuttingDown();
    loop.runReady();
    const std::vector<std::string> expected = {
        "starting", "no configuration is in force yet", "ready", "taken out of service", "ready", "shutting down"};
    CHECK_TRUE(reported == expected);
}
