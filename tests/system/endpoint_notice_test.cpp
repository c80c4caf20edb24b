#include "soak/soak_site.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto callLimit = 10s;
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

void answerAtOnce(const standin_backend &backend, const std::shared_ptr<http_exchange> &exchange)
{
    http_response response = backend.success(exchange->request());
    response.body = "body";
    exchange->respond(response);
}

/// One gateway process between the stand-ins of the store and of the endpoints.
struct gateway_process
{
    event_loop loop;
    soak_site site {loop, soak_plan {}, answerAtOnce};
    timer pauseEnd {loop, [this] {
                        loop.stop();
                    }};
    int lastRequest = 0;

    gateway_process()
    {
        CHECK_TRUE(site.start(1).has_value());
        const instant begun = boot_clock::now();
        while (call("/safe/x").status != statusOk && boot_clock::now() - begun < callLimit) {
            wait(20ms);
        }
        LONGS_EQUAL(statusOk, call("/safe/x").status);
    }

    void wait(std::chrono::milliseconds time)
    {
        pauseEnd.start(deadline::after(boot_clock::now(), time));
        loop.run();
    }

    http_response call(const std::string &target)
    {
        const bool isStream = target.rfind("/text/", 0) == 0;
        http_request request;
        request.method = target.rfind("/safe/", 0) == 0 ? "GET" : "POST";
        request.target = target;
        request.headers = {
            {"X-Attempt-Id", "a" + std::to_string(++lastRequest)}, {"X-Deadline-Ms", "4000"}, {"Authorization", "Bearer k1"}};
        if (isStream) {
            request.headers.add("X-Token-Counts", "1000,50");
        }
        http_response response;
        response.status = 0;
        http_call_handlers handlers;
        handlers.onDone = [&](http_call_result result) {
            if (result) {
                response = std::move(result.value());
            }
            loop.stop();
        };
        site.gateways().front().client->send(request, std::move(handlers), deadline::after(boot_clock::now(), callLimit));
        loop.run();
        return response;
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

    standin_backend &backend(const std::string &id)
    {
        return *endpoint(id).backend;
    }

    // Leaves one plain endpoint, because one that has turned a request away is used only when the others are busy.
    void dropOthers(const std::string &id)
    {
        for (const soak_endpoint &one : site.endpoints()) {
            if (one.service == "plain" && one.id != id) {
                site.store().drop("keyed.servers", one.id);
            }
        }
        // The gateway has read both changes when it has used the one endpoint many times in a row.
        const std::string seal = "seal-of-" + id;
        int uses = 0;
        const instant begun = boot_clock::now();
        while (uses < 30 && boot_clock::now() - begun < callLimit) {
            uses = call("/safe/x").headers.value("X-Server-Seal") == seal ? uses + 1 : 0;
        }
        LONGS_EQUAL(30, uses);
    }

    // Calls until the endpoint has got one more request, so that it has responded.
    void callUntilAsked(const std::string &id, const std::string &target)
    {
        const std::size_t before = backend(id).calls().size();
        for (int round = 0; round < 200 && backend(id).calls().size() == before; ++round) {
            call(target);
        }
        CHECK(backend(id).calls().size() > before);
    }
};

} // namespace

TEST_GROUP(endpoint_notice)
{
    gateway_process gateway;
};

// The store still lists the endpoint as ready, and lists it again, or does not respond at all: what the endpoint says itself holds.
TEST(endpoint_notice, nothingIsSentToAnEndpointThatLeaves)
{
    gateway.backend("p1").setLeaving();
    gateway.callUntilAsked("p1", "/safe/x");
    const std::size_t before = gateway.backend("p1").calls().size();
    for (int round = 0; round < 30; ++round) {
        LONGS_EQUAL(statusOk, gateway.call(round % 2 == 0 ? "/safe/x" : "/unsafe/x").status);
    }
    gateway.site.store().drop("keyed.servers", "p1");
    gateway.wait(200ms);
    gateway.site.publishEndpoint(gateway.endpoint("p1"));
    gateway.wait(200ms);
    gateway.site.store().setAvailability(standin_store::availability::silent);
    for (int round = 0; round < 30; ++round) {
        LONGS_EQUAL(statusOk, gateway.call("/safe/x").status);
    }
    LONGS_EQUAL(before, gateway.backend("p1").calls().size());
    gateway.site.store().setAvailability(standin_store::availability::serving);
}

// A process that starts under the same id has not said that it leaves.
TEST(endpoint_notice, aRestartedEndpointIsUsedAgain)
{
    for (const char *id : {"p1", "p2", "p3"}) {
        gateway.backend(id).setLeaving();
        gateway.callUntilAsked(id, "/safe/x");
    }
    const http_response refused = gateway.call("/safe/x");
    LONGS_EQUAL(statusUnavailable, refused.status);
    CHECK_TRUE(refused.headers.has("Retry-After"));
    gateway.backend("p1").restart();
    gateway.site.publishEndpoint(gateway.endpoint("p1"));
    const instant begun = boot_clock::now();
    while (gateway.call("/safe/x").status != statusOk && boot_clock::now() - begun < callLimit) {
        gateway.wait(20ms);
    }
    LONGS_EQUAL(statusOk, gateway.call("/safe/x").status);
}

// The responses to a reservation and to a prefill count like those to a request.
TEST(endpoint_notice, enginesThatLeaveGetNoCallOfAnyKind)
{
    gateway.backend("r1").setLeaving();
    gateway.callUntilAsked("r1", "/text/x");
    gateway.backend("d1").setLeaving();
    gateway.callUntilAsked("d1", "/text/x");
    const std::size_t decodeCalls = gateway.backend("d1").calls().size();
    const std::size_t prefillCalls = gateway.backend("r1").calls().size();
    for (int round = 0; round < 20; ++round) {
        LONGS_EQUAL(statusOk, gateway.call("/text/x").status);
    }
    LONGS_EQUAL(decodeCalls, gateway.backend("d1").calls().size());
    LONGS_EQUAL(prefillCalls, gateway.backend("r1").calls().size());
}

// An endpoint that turns a request away for a time gets nothing meanwhile, and one request at a time afterwards.
TEST(endpoint_notice, aPausingEndpointGetsNothingUntilTheEndOfItsPause)
{
    gateway.dropOthers("p1");
    gateway.backend("p1").setPause("1.5");
    gateway.callUntilAsked("p1", "/safe/x");
    const instant paused = boot_clock::now();
    const std::size_t before = gateway.backend("p1").calls().size();
    gateway.backend("p1").setPause(std::nullopt);
    while (boot_clock::now() - paused < 1400ms) {
        LONGS_EQUAL(statusUnavailable, gateway.call("/unsafe/x").status);
        LONGS_EQUAL(before, gateway.backend("p1").calls().size());
    }
    gateway.wait(500ms);
    LONGS_EQUAL(statusOk, gateway.call("/unsafe/x").status);
}

// While all endpoints pause, callers are told at once when to return, and no endpoint gets a request.
TEST(endpoint_notice, requestsAreRefusedAtOnceWhileAllEndpointsPause)
{
    for (const char *id : {"p1", "p2", "p3"}) {
        gateway.backend(id).setPause("3");
        gateway.callUntilAsked(id, "/safe/x");
    }
    std::size_t before = 0;
    for (const char *id : {"p1", "p2", "p3"}) {
        before += gateway.backend(id).calls().size();
    }
    for (int round = 0; round < 20; ++round) {
        const instant sent = boot_clock::now();
        const http_response refused = gateway.call(round % 2 == 0 ? "/safe/x" : "/unsafe/x");
        LONGS_EQUAL(statusUnavailable, refused.status);
        CHECK(boot_clock::now() - sent < 1s);
        CHECK(std::stod(std::string(refused.headers.value("Retry-After"))) > 1.0);
    }
    std::size_t after = 0;
    for (const char *id : {"p1", "p2", "p3"}) {
        after += gateway.backend(id).calls().size();
    }
    LONGS_EQUAL(before, after);
}

// A huge or unreadable time must not take an endpoint out of use.
TEST(endpoint_notice, anUnreadablePauseIsNone)
{
    gateway.backend("p1").setPause("Sat, 05 Dec 2026 03:00:00 GMT");
    gateway.callUntilAsked("p1", "/safe/x");
    gateway.backend("p1").setPause(std::nullopt);
    gateway.dropOthers("p1");
    gateway.callUntilAsked("p1", "/safe/x");
}
