#include <nlohmann/json.hpp>

#include "soak/soak_site.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto callLimit = 10s;
// Requests go on for this long after the bound, in which an instance with old records shows itself many times.
constexpr auto observationTime = 3s;
constexpr int statusOk = 200;
constexpr int statusUnauthorized = 401;

void answerAtOnce(const standin_backend &backend, const std::shared_ptr<http_exchange> &exchange)
{
    http_response response = backend.success(exchange->request());
    response.body = "body";
    exchange->respond(response);
}

/// Two gateway processes whose store comes back from an older copy.
struct restored_site
{
    event_loop loop;
    soak_site site {loop, soak_plan {}, answerAtOnce};
    timer pauseEnd {loop, [this] {
                        loop.stop();
                    }};
    int lastRequest = 0;

    restored_site()
    {
        CHECK_TRUE(site.start(2).has_value());
        for (soak_gateway &gateway : site.gateways()) {
            const instant begun = boot_clock::now();
            while (call(gateway, "k2") != statusOk && boot_clock::now() - begun < callLimit) {
                wait(20ms);
            }
            LONGS_EQUAL(statusOk, call(gateway, "k2"));
        }
        // Longer than a new gateway takes to learn its group and choose its reader.
        wait(2500ms);
    }

    void wait(std::chrono::milliseconds time)
    {
        pauseEnd.start(deadline::after(boot_clock::now(), time));
        loop.run();
    }

    int call(soak_gateway &gateway, const std::string &key)
    {
        http_request request;
        request.target = "/safe/x";
        request.headers = {
            {"X-Attempt-Id", "a" + std::to_string(++lastRequest)}, {"X-Deadline-Ms", "4000"}, {"Authorization", "Bearer " + key}};
        int status = 0;
        http_call_handlers handlers;
        handlers.onDone = [&](const http_call_result &result) {
            status = result ? result.value().status : 0;
            loop.stop();
        };
        gateway.client->send(request, std::move(handlers), deadline::after(boot_clock::now(), callLimit));
        loop.run();
        return status;
    }

    /// Sends requests to all gateways for the given time and returns how many were answered otherwise than expected.
    int countUnexpected(std::chrono::milliseconds time, const std::string &key, int expected)
    {
        int count = 0;
        const deadline until = deadline::after(boot_clock::now(), time);
        while (!until.hasPassed(boot_clock::now())) {
            for (soak_gateway &gateway : site.gateways()) {
                count += call(gateway, key) == expected ? 0 : 1;
            }
            wait(20ms);
        }
        return count;
    }

    soak_endpoint &endpoint(const std::string &id)
    {
        for (soak_endpoint &one : site.endpoints()) {
            if (one.id == id) {
                return one;
            }
        }
        FAIL("no such endpoint");
        return site.endpoints().front();
    }
};

} // namespace

TEST_GROUP(restored_store)
{
    restored_site running;
};

// Guards against requests that are run with a withdrawn key, and refused with a key that was added, long after the restored store has
// acknowledged the change.
TEST(restored_store, configurationsAreInForceWithinTheBound)
{
    for (int version = 2; version <= 4; ++version) {
        running.site.configure(version, true);
    }
    running.wait(soak_site::configurationTime);
    running.site.store().restore({{"keyed.op", 3}});
    running.site.configure(4, true);
    running.site.configure(5, false);
    running.wait(soak_site::configurationTime);
    const int runWithWithdrawnKey = running.countUnexpected(observationTime, "k2", statusUnauthorized);
    running.site.store().restore({{"keyed.op", 2}});
    running.site.configure(6, true);
    running.wait(soak_site::configurationTime);
    const int refusedWithAddedKey = running.countUnexpected(observationTime, "k2", statusOk);
    LONGS_EQUAL(0, runWithWithdrawnKey);
    LONGS_EQUAL(0, refusedWithAddedKey);
}

// Guards against requests that reach an endpoint long after the restored store has acknowledged that it leaves.
TEST(restored_store, endpointsThatLeaveAreNotUsed)
{
    soak_endpoint &leaving = running.endpoint("p1");
    for (int heartbeat = 0; heartbeat < 5; ++heartbeat) {
        running.site.publishEndpoint(running.endpoint("p2"));
    }
    running.wait(soak_site::configurationTime);
    running.site.store().restore({{"keyed.servers", 4}});
    nlohmann::json entry = nlohmann::json::parse(leaving.backend->entry(leaving.service, "z", leaving.stage));
    entry["address"] = leaving.link->address().toString();
    entry["state"] = "draining";
    running.site.store().put("keyed.servers", leaving.id, entry.dump());
    running.wait(soak_site::configurationTime);
    const std::size_t before = leaving.backend->calls().size();
    LONGS_EQUAL(0, running.countUnexpected(observationTime, "k1", statusOk));
    LONGS_EQUAL(0, leaving.backend->calls().size() - before);
}
