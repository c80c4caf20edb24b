#include "gateway/gateway_tree.h"

#include "gateway/endpoint_client_task.h"
#include "gateway/fleet_state.h"
#include "gateway/member_codec.h"
#include "gateway/store_task.h"
#include "http/http_client.h"
#include "platform/platform.h"
#include "standins/users_platform/standin_backend.h"
#include "standins/users_platform/standin_store.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto testTimeout = 20s;

std::string configText(int version, const std::string &keys = R"(["k1"])")
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
 {"name":"safe","host":"127.0.0.1","path_prefix":"/safe/","kind":"safe","timeout_ms":5000,"service":"plain","max_attempts":2},
 {"name":"unsafe","host":"127.0.0.1","path_prefix":"/unsafe/","kind":"unsafe","timeout_ms":5000,"service":"plain","max_attempts":1},
 {"name":"text","host":"127.0.0.1","path_prefix":"/text/","kind":"streaming","timeout_ms":5000,"service":"engine","max_attempts":1}],
 "services":[{"name":"plain","max_conns":100},{"name":"engine","max_conns":100,"engine":{"slots":8,"kv_capacity":40000}}],
 "tenants":[{"name":"w","api_keys":)"
        + keys + R"(,"unit":"tokens","plain_tokens":200,"rate_per_s":470000,"burst":470000}]})";
}

/// A gateway and the stand-ins for its platform, in one process and on one event loop.
struct deployment
{
    static constexpr std::chrono::milliseconds gracePeriod {4000};
    static constexpr std::chrono::milliseconds silence {1500};

    event_loop loop;
    timer guard;
    bool isTimedOut = false;
    standin_store store;
    standin_backend plain;
    standin_backend prefill;
    standin_backend decode;
    platform_adapter adapter;
    int log = ::open("/dev/null", O_WRONLY);
    std::optional<int> ended;
    std::unique_ptr<gateway_tree> gateway;
    std::unique_ptr<http_client> client;

    deployment()
        : guard(loop,
                [this] {
                    isTimedOut = true;
                    loop.stop();
                })
        , store(loop)
        , plain(loop, "p")
        , prefill(loop, "r")
        , decode(loop, "d")
    {
        guard.start(deadline::after(boot_clock::now(), testTimeout));
        store.put("keyed.op", "config", configText(3));
        store.put("keyed.servers", "p", plain.entry("plain", "z"));
        store.put("keyed.servers", "r", prefill.entry("engine", "z", "prefill"));
        store.put("keyed.servers", "d", decode.entry("engine", "z", "decode"));
        gateway_settings settings;
        settings.instance = instance_id("me");
        settings.dataCentre = data_centre_id("z");
        settings.callerAddress = settings.readinessAddress = settings.metricsAddress = settings.peerAddress = {"127.0.0.1", 0};
        settings.storeAddress = store.address();
        settings.gracePeriod = gracePeriod;
        settings.silenceDetectionLimit = silence;
        settings.quotas.fixed = 190000;
        gateway = std::make_unique<gateway_tree>(loop, settings, adapter.dialects(), log, [this](int status) {
            ended = status;
            loop.stop();
        });
        CHECK_TRUE(gateway->start().has_value());
        client = std::make_unique<http_client>(loop, gateway->callerAddress());
    }

    ~deployment()
    {
        gateway.reset();
        ::close(log);
    }

    void pause(std::chrono::milliseconds time)
    {
        timer end(loop, [this] { loop.stop(); });
        end.start(deadline::after(boot_clock::now(), time));
        loop.run();
    }

    http_request request(const std::string &method, const std::string &target) const
    {
        http_request made;
        made.method = method;
        made.target = target;
        made.headers = {{"Host", "h"}, {"X-Attempt-Id", "a1"}, {"X-Deadline-Ms", "4000"}, {"Authorization", "Bearer k1"}};
        return made;
    }

    http_response call(const http_request &made)
    {
        http_response response;
        http_call_handlers handlers;
        handlers.onDone = [&](http_call_result result) {
            response = result ? std::move(result.value()) : http_response {0, {}, ""};
            loop.stop();
        };
        client->send(made, std::move(handlers), deadline::after(boot_clock::now(), testTimeout));
        loop.run();
        CHECK_FALSE(isTimedOut);
        return response;
    }

    // Repeats a call until it returns the expected status. Waits for changes to propagate without sleeping.
    http_response callUntil(const http_request &made, int status)
    {
        http_response response = call(made);
        while (response.status != status && !isTimedOut) {
            response = call(made);
        }
        return response;
    }
};

} // namespace

TEST_GROUP(gateway) {};

// Each kind of request passes through the gateway, with the platform's headers on both the caller's and the endpoint's side.
TEST(gateway, servesEachKindOfRequest)
{
    deployment site;
    const http_response safe = site.callUntil(site.request("GET", "/safe/x"), 200);
    STRCMP_EQUAL("body of p", safe.body.c_str());
    CHECK(safe.headers.value("X-Server-Seal") == "seal-of-p");
    http_request unsafe = site.request("POST", "/unsafe/x");
    unsafe.body = "order";
    LONGS_EQUAL(200, site.call(unsafe).status);
    STRCMP_EQUAL("order", site.plain.runs().back().body.c_str());
    CHECK_FALSE(site.plain.runs().back().headers.has("Authorization"));
    CHECK(site.plain.runs().back().headers.value("X-Tenant") == "w");

    http_request text = site.request("POST", "/text/x");
    text.headers.add("X-Token-Counts", "1000,50");
    text.body = "prompt";
    const http_response stream = site.call(text);
    LONGS_EQUAL(200, stream.status);
    STRCMP_EQUAL("id: 1\ndata: piece\n\nid: 2\ndata: piece\n\nid: 3\ndata: piece\n\n", stream.body.c_str());
    CHECK(site.decode.calls().front().path() == "/hold-take");
    LONGS_EQUAL(1, site.prefill.calls().size());
    const http_request &run = site.decode.runs().front();
    CHECK(run.headers.value("X-Kv-Source") == site.prefill.address().toString() + "/handle-1");
    CHECK(run.headers.value("X-Kv-Hold") == "room-1");
}

// Guards against an instance that responds with 401 or 404 to valid requests because it has no configuration yet.
TEST(gateway, respondsServiceUnavailableWithoutAConfiguration)
{
    deployment site;
    const http_response early = site.call(site.request("GET", "/safe/x"));
    CHECK(early.status == 503 || early.status == 200);
    site.callUntil(site.request("GET", "/safe/x"), 200);
    LONGS_EQUAL(404, site.call(site.request("GET", "/nowhere/x")).status);
    http_request unknown = site.request("GET", "/safe/x");
    unknown.headers.remove("Authorization");
    unknown.headers.add("Authorization", "Bearer other");
    LONGS_EQUAL(401, site.call(unknown).status);
}

// A withdrawn key is rejected, and reading an older configuration again does not restore it.
TEST(gateway, ignoresOlderConfigurations)
{
    deployment site;
    site.callUntil(site.request("GET", "/safe/x"), 200);
    site.store.put("keyed.op", "config", configText(5, R"(["k2"])"));
    site.callUntil(site.request("GET", "/safe/x"), 401);
    site.store.put("keyed.op", "config", configText(4));
    http_request other = site.request("GET", "/safe/x");
    other.headers.remove("Authorization");
    other.headers.add("Authorization", "Bearer k2");
    LONGS_EQUAL(200, site.call(other).status);
    LONGS_EQUAL(401, site.call(site.request("GET", "/safe/x")).status);
}

TEST(gateway, sendsNothingToALeavingEndpoint)
{
    deployment site;
    site.callUntil(site.request("GET", "/safe/x"), 200);
    site.store.drop("keyed.servers", "p");
    site.callUntil(site.request("GET", "/safe/x"), 503);
}

// If the records since the last read are no longer stored, the gateway learns of the change from the newest records.
TEST(gateway, readsTheNewestRecordsWhenTheHistoryIsTruncated)
{
    deployment site;
    site.callUntil(site.request("GET", "/safe/x"), 200);
    site.store.setAvailability(standin_store::availability::refusing);
    site.store.put("keyed.op", "config", configText(6, R"(["k2"])"));
    site.store.discardHistory("keyed.op");
    site.store.setAvailability(standin_store::availability::serving);
    site.callUntil(site.request("GET", "/safe/x"), 401);
}

// Registrations expire while the store is unavailable. Treating their endpoints as removed when the store returned left a whole service
// without endpoints until they had registered again. An endpoint that does not register again must not be kept for long, however.
TEST(gateway, keepsEndpointsWhoseRegistrationsExpiredDuringAnOutage)
{
    deployment site;
    site.callUntil(site.request("GET", "/safe/x"), 200);
    site.store.setAvailability(standin_store::availability::refusing);
    // A long poll that the store held open before ends within the first second.
    site.pause(deployment::silence + 1000ms);
    site.store.drop("keyed.servers", "p");
    site.store.setAvailability(standin_store::availability::serving);
    const instant returned = boot_clock::now();
    site.callUntil(site.request("GET", "/safe/x"), 503);
    const auto kept = boot_clock::now() - returned;
    CHECK(kept > 1500ms);
    CHECK(kept < 2500ms);
}

// An instance without connection to the store continues with the last known state.
TEST(gateway, servesWhileTheStoreDoesNotRespond)
{
    deployment site;
    site.callUntil(site.request("GET", "/safe/x"), 200);
    site.store.setAvailability(standin_store::availability::silent);
    for (int round = 0; round < 5; ++round) {
        LONGS_EQUAL(200, site.call(site.request("GET", "/safe/x")).status);
    }
}

// A success response without the endpoint's seal may come from anywhere.
TEST(gateway, rejectsSuccessResponsesWithoutServerSeal)
{
    deployment site;
    site.callUntil(site.request("GET", "/safe/x"), 200);
    site.plain.setRequestHandler([&site](const std::shared_ptr<http_exchange> &exchange) {
        http_response response = site.plain.success(exchange->request());
        response.headers.remove("X-Server-Seal");
        response.body = "somebody's";
        exchange->respond(response);
    });
    LONGS_EQUAL(502, site.call(site.request("POST", "/unsafe/x")).status);
}

// Error responses keep the endpoint's status and seal.
TEST(gateway, relaysErrorResponsesUnchanged)
{
    deployment site;
    site.callUntil(site.request("GET", "/safe/x"), 200);
    site.plain.setRequestHandler([&site](const std::shared_ptr<http_exchange> &exchange) {
        http_response response = site.plain.success(exchange->request());
        response.status = 500;
        exchange->respond(response);
    });
    const http_response failed = site.call(site.request("POST", "/unsafe/x"));
    LONGS_EQUAL(500, failed.status);
    CHECK(failed.headers.value("X-Server-Seal") == "seal-of-p");
}

// The caller may retry a request that no endpoint has executed; the response says so with Retry-After.
TEST(gateway, sendsRetryAfterIfNoEndpointExecutedTheRequest)
{
    deployment site;
    site.callUntil(site.request("GET", "/safe/x"), 200);
    site.plain.setRequestHandler([](const std::shared_ptr<http_exchange> &exchange) {
        http_response response;
        response.status = 503;
        response.headers.add("X-Attempt-Id", std::string(exchange->request().headers.value("X-Attempt-Id")));
        response.headers.add("X-Not-Executed", "1");
        exchange->respond(response);
    });
    const http_response refused = site.call(site.request("POST", "/unsafe/x"));
    LONGS_EQUAL(503, refused.status);
    CHECK_TRUE(refused.headers.has("Retry-After"));
}

// Guards against truncated streams: one that starts late in the shutdown is cut off when the grace period ends (seen in a bug hunt
// on rampa-hat, seed 747290897260: LOST).
TEST(gateway, refusesNewStreamsLateInTheShutdown)
{
    deployment site;
    site.callUntil(site.request("GET", "/safe/x"), 200);
    site.gateway->beginShutdown();
    // A stream that may last for the whole time of its route is refused at once; one whose caller waits less is taken until that time no
    // longer fits into the grace period.
    http_request text = site.request("POST", "/text/x");
    text.headers.add("X-Token-Counts", "1000,50");
    LONGS_EQUAL(503, site.callUntil(text, 503).status);
    text.headers = {
        {"Host", "h"}, {"X-Attempt-Id", "a1"}, {"X-Deadline-Ms", "2500"}, {"Authorization", "Bearer k1"}, {"X-Token-Counts", "1000,50"}};
    const http_response first = site.call(text);
    LONGS_EQUAL(200, first.status);
    CHECK(first.headers.value("Connection") == "close");
    const http_response late = site.callUntil(text, 503);
    CHECK_TRUE(late.headers.has("Retry-After"));
    site.loop.run();
    CHECK(site.ended == std::optional<int>(0));
}

// A process that still runs at the end of the grace period is killed, so a store that does not respond must not delay the exit.
TEST(gateway, exitsWithinTheGracePeriodDespiteAnUnresponsiveStoreAndARunningStream)
{
    deployment site;
    site.callUntil(site.request("GET", "/safe/x"), 200);
    std::vector<std::shared_ptr<http_exchange>> unanswered;
    site.decode.setRequestHandler([&](const std::shared_ptr<http_exchange> &exchange) { unanswered.push_back(exchange); });
    http_request text = site.request("POST", "/text/x");
    text.headers.add("X-Token-Counts", "1000,50");
    http_call_handlers handlers;
    handlers.onDone = [](const http_call_result &) {
    };
    site.client->send(text, std::move(handlers), deadline::after(boot_clock::now(), testTimeout));
    site.store.setAvailability(standin_store::availability::silent);
    const instant begun = boot_clock::now();
    site.gateway->beginShutdown();
    while (!site.ended && !site.isTimedOut) {
        site.loop.run();
    }
    CHECK(site.ended == std::optional<int>(0));
    CHECK(boot_clock::now() - begun < deployment::gracePeriod);
}

// An instance that was suspended reads requests whose callers disconnected long ago. Executing a booking among them would book for a
// caller that never sees the response.
TEST(gateway, dropsRequestsWhoseCallerDisconnectedBeforeTheyWereRead)
{
    deployment site;
    site.callUntil(site.request("GET", "/safe/x"), 200);
    const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to = {};
    to.sin_family = AF_INET;
    to.sin_port = htons(site.gateway->callerAddress().port);
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    LONGS_EQUAL(0, ::connect(caller, reinterpret_cast<const sockaddr *>(&to), sizeof(to)));
    const std::string booking = "POST /unsafe/x HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: left\r\nX-Deadline-Ms: 4000\r\n"
                                "Authorization: Bearer k1\r\nContent-Length: 5\r\n\r\norder";
    LONGS_EQUAL(booking.size(), ::send(caller, booking.data(), booking.size(), 0));
    ::close(caller);
    const std::size_t before = site.plain.runs().size();
    LONGS_EQUAL(200, site.call(site.request("GET", "/safe/y")).status);
    LONGS_EQUAL(200, site.call(site.request("GET", "/safe/z")).status);
    LONGS_EQUAL(before + 2, site.plain.runs().size());
}

TEST_GROUP(fleet_state) {};

// Guards against exceeded quotas: after a restart of many instances, each of them used the whole rate of its workspaces until its first
// report a second later.
TEST(fleet_state, countsOtherInstancesBeforeItServes)
{
    platform_adapter adapter;
    const instant now = boot_clock::now();
    fleet_state fleet({instance_id("me"), data_centre_id("z"), {}}, {}, adapter.dialects().records, {});
    fleet.reset(store_topic::operators, {{"config", configText(3), store_offset(1)}}, {now});
    fleet.reset(store_topic::endpoints,
                {{"p", R"({"service":"plain","address":"127.0.0.1:1","zone":"z","slots":8,"state":"ready"})", store_offset(1)}},
                {now});
    CHECK_FALSE(fleet.hasInitialState());
    std::vector<store_record> others;
    for (int i = 0; i < 9; ++i) {
        const member_report report = {incarnation_id("x" + std::to_string(i)), 1};
        others.push_back({"other-" + std::to_string(i), encodeMemberReport(report), store_offset(i)});
    }
    fleet.reset(store_topic::members, others, {now});
    CHECK_TRUE(fleet.hasInitialState());
    LONGS_EQUAL(10, fleet.instanceCount());
}

namespace
{

/// An instance's view of a cold endpoint of the service "plain", and of nine other instances.
struct cold_endpoint_fixture
{
    platform_adapter adapter;
    instant now = boot_clock::now();
    fleet_state fleet {{instance_id("me"), data_centre_id("z"), {1.0, 100}}, {}, adapter.dialects().records, {}};

    void applyPlan(int version, const std::string &services)
    {
        const std::string plan = R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":)" + services + "}";
        fleet.change(store_topic::operators, {{"config", plan, store_offset(version)}}, {now, {}});
    }

    void registerEndpoint()
    {
        const std::string entry =
            R"({"service":"plain","address":"127.0.0.1:1","zone":"z","slots":8,"state":"ready","cold_left_ms":9000,"born":10})";
        fleet.change(store_topic::endpoints, {{"p", entry, store_offset(1)}}, {now, {}});
    }

    void registerOtherInstances()
    {
        std::vector<store_record> others;
        for (int i = 0; i < 9; ++i) {
            const member_report report = {incarnation_id("x" + std::to_string(i)), 1};
            others.push_back({"other-" + std::to_string(i), encodeMemberReport(report), store_offset(i)});
        }
        fleet.reset(store_topic::members, others, {now, {}});
    }

    /// Requests that this instance may send to the endpoint within a second.
    int countRequests()
    {
        int taken = 0;
        for (const instant end = now + 1s; now < end; now += 5ms) {
            taken += fleet.endpoints().takeColdStartToken(endpoint_id("p"), now) ? 1 : 0;
        }
        return taken;
    }
};

} // namespace

// Guards against cold endpoints that get more than they bear until their entries are written again, because their limit was computed only
// when an entry arrived (FAILBACK).
TEST_GROUP(cold_endpoints)
{
    cold_endpoint_fixture fixture;
};

TEST(cold_endpoints, areLimitedWhenANewerPlanNamesTheirService)
{
    fixture.applyPlan(1, R"([{"name":"other"}])");
    fixture.registerEndpoint();
    fixture.applyPlan(4, R"([{"name":"plain","cold_per_s":10}])");
    const int taken = fixture.countRequests();
    CHECK(taken >= 9);
    CHECK(taken <= 11);
}

TEST(cold_endpoints, followARateThatANewerPlanChanges)
{
    fixture.applyPlan(1, R"([{"name":"plain","cold_per_s":40}])");
    fixture.registerEndpoint();
    fixture.applyPlan(4, R"([{"name":"plain","cold_per_s":10}])");
    const int taken = fixture.countRequests();
    CHECK(taken >= 9);
    CHECK(taken <= 11);
    fixture.applyPlan(7, R"([{"name":"plain","cold_per_s":20}])");
    CHECK(fixture.countRequests() >= 18);
    fixture.applyPlan(9, R"([{"name":"plain"}])");
    LONGS_EQUAL(200, fixture.countRequests());
    fixture.applyPlan(10, R"([{"name":"plain","cold_per_s":10}])");
    CHECK(fixture.countRequests() <= 11);
}

// The endpoints may be read before the reports of the other instances, for example after a restart of all instances.
TEST(cold_endpoints, areSharedWithInstancesThatBecomeKnownLater)
{
    fixture.applyPlan(1, R"([{"name":"plain","cold_per_s":40}])");
    fixture.registerEndpoint();
    fixture.registerOtherInstances();
    const int taken = fixture.countRequests();
    CHECK(taken >= 3);
    CHECK(taken <= 5);
}

TEST_GROUP(registration_grace_list)
{
    const registration_grace_settings bounds = {3000ms, 2000ms};
    const endpoint_id endpoint {"p"};
    const instant now = boot_clock::now();
    registration_grace_list graceList {bounds};
};

// A registration that disappears while the store is available means that the endpoint leaves. It must not get requests after the bound.
TEST(registration_grace_list, removesEndpointsThatLeaveWhileTheStoreIsAvailable)
{
    CHECK_FALSE(graceList.keep(endpoint, bounds.silence - 1ms, now));
    CHECK_TRUE(graceList.next().isNever());
}

// Even if the registration of a leaving endpoint disappeared just before the store returned, requests to it must stop within the bound.
TEST(registration_grace_list, expiresWithinTheDrainBound)
{
    for (const std::chrono::milliseconds drain : {300ms, 1000ms, 2000ms, 20000ms}) {
        registration_grace_list bounded({3000ms, drain});
        CHECK_TRUE(bounded.keep(endpoint, 5000ms, now));
        CHECK_TRUE(bounded.next() < deadline::after(now, drain));
        CHECK_TRUE(bounded.next() < deadline::after(now, 2000ms));
    }
}

// Another complete read within the grace time must neither remove the endpoint early nor restart the grace time.
TEST(registration_grace_list, keepsTheDeadlineOfTheFirstRead)
{
    CHECK_TRUE(graceList.keep(endpoint, 4000ms, now));
    const deadline until = graceList.next();
    CHECK_TRUE(graceList.keep(endpoint, 0ms, now + 500ms));
    CHECK_TRUE(graceList.next() == until);
    LONGS_EQUAL(0, graceList.takeOverdue(now + 500ms).size());
    CHECK_FALSE(graceList.keep(endpoint, 0ms, now + 2000ms));
    LONGS_EQUAL(1, graceList.takeOverdue(now + 2000ms).size());
    CHECK_TRUE(graceList.next().isNever());
}

TEST(registration_grace_list, forgetsEndpointsThatRegisterAgain)
{
    CHECK_TRUE(graceList.keep(endpoint, 4000ms, now));
    graceList.forget(endpoint);
    LONGS_EQUAL(0, graceList.takeOverdue(now + 5000ms).size());
}

TEST_GROUP(store_topics) {};

// A long poll that reaches the store while a change is being written returns the change only at the end of its wait. With a wait above the
// bound, requests were refused under an older configuration (rampa-hat scale-1, seed 33: CONFIG).
TEST(store_topics, waitLessThanTheBounds)
{
    for (const std::chrono::milliseconds bound : {500ms, 2000ms, 3000ms, 20000ms}) {
        for (const std::chrono::milliseconds silence : {700ms, 3000ms, 4000ms}) {
            for (const topic_follower_settings &topic : topicFollowerSettings({bound, silence, bound})) {
                CHECK(topic.own.wait < bound);
                CHECK(topic.own.wait < silence);
                CHECK(topic.topic == store_topic::members || topic.own.pause < bound);
            }
        }
    }
}

// An instance that reads through a relay learns of a change after the maximum age of the relayed records, the pause until its next request
// and the duration of that request.
TEST(store_topics, keepTheBoundsWhenReadingThroughARelay)
{
    for (const std::chrono::milliseconds bound : {2000ms, 3000ms, 20000ms}) {
        for (const topic_follower_settings &topic : topicFollowerSettings({bound, 4000ms, bound})) {
            if (topic.topic != store_topic::members) {
                CHECK(topic.maxRelayedAge + topic.askPause + topic_relay_client::peerRequestTimeout < bound);
                CHECK(topic.whileRelaying.wait + topic.whileRelaying.pause < topic.maxRelayedAge);
            }
        }
    }
}

TEST_GROUP(endpoint_client) {};

namespace
{

/// An endpoint_client_task whose messages to the dispatcher are collected.
struct endpoint_client_fixture
{
    event_loop loop;
    timer guard;
    standin_backend backend;
    platform_adapter adapter;
    std::shared_ptr<mailbox<dispatch_message>> toDispatcher = std::make_shared<mailbox<dispatch_message>>(loop, 100);
    std::shared_ptr<mailbox<endpoint_client_message>> toClient = std::make_shared<mailbox<endpoint_client_message>>(loop, 100);
    endpoint_client_task endpointClient;
    std::vector<dispatch_message> receivedMessages;
    std::function<void()> onReceived;

    endpoint_client_fixture()
        : guard(loop, [this] { loop.stop(); })
        , backend(loop, "b")
        , endpointClient(loop, toClient, adapter.dialects().endpoints, address(toDispatcher), {})
    {
        guard.start(deadline::after(boot_clock::now(), testTimeout));
        toDispatcher->attach([this](dispatch_message &&message) {
            receivedMessages.push_back(std::move(message));
            if (onReceived) {
                onReceived();
            }
        });
    }

    void open(std::int64_t number, bool isStreamed)
    {
        open_attempt order;
        order.flow = flow_id(number);
        order.number = attempt_number(1);
        order.address = backend.address();
        order.request.target = "/x";
        order.request.headers = {{"Host", "h"}, {"X-Attempt-Id", "a"}};
        order.expected = attempt_id("a");
        order.isStreamed = isStreamed;
        CHECK(toClient->post(std::move(order)) == post_result::delivered);
    }
};

} // namespace

// Guards against a segmentation fault caused by response data that arrives after its attempt was cancelled.
TEST(endpoint_client, ignoresDataOfACancelledAttempt)
{
    endpoint_client_fixture fixture;
    std::shared_ptr<http_exchange> running;
    fixture.backend.setRequestHandler([&](const std::shared_ptr<http_exchange> &exchange) {
        running = exchange;
        exchange->startStream(200, fixture.backend.success(exchange->request()).headers);
        exchange->sendData("id: 1\ndata: a\n\n");
    });
    fixture.open(1, true);
    fixture.onReceived = [&] {
        if (fixture.receivedMessages.size() != 2) {
            return;
        }
        // The attempt is cancelled in the loop iteration in which the end of the response is sent.
        running->sendData("id: 2\ndata: b\n\n");
        running->endStream();
        CHECK(fixture.toClient->post(close_attempt {flow_id(1), attempt_number(1)}) == post_result::delivered);
        fixture.loop.stop();
    };
    fixture.loop.run();
    fixture.onReceived = nullptr;
    for (int round = 0; round < 20; ++round) {
        fixture.loop.runReady();
    }
    CHECK(std::holds_alternative<attempt_response_head>(fixture.receivedMessages[0]));
}

TEST(endpoint_client, reusesConnectionsAndReportsCompleteResponses)
{
    endpoint_client_fixture fixture;
    for (std::int64_t number = 1; number <= 3; ++number) {
        fixture.onReceived = [&] {
            fixture.loop.stop();
        };
        fixture.open(number, false);
        fixture.loop.run();
    }
    LONGS_EQUAL(3, fixture.receivedMessages.size());
    const auto &ended = std::get<attempt_ended>(fixture.receivedMessages.back());
    CHECK(ended.end == attempt_outcome::whole);
    STRCMP_EQUAL("body of b", ended.response.body.c_str());
}

TEST_GROUP(gateway_codecs) {};

TEST(gateway_codecs, memberReportsSurviveTheStore)
{
    const member_report report = {incarnation_id("i"), 4, {{endpoint_id("e1"), 250}}};
    const auto decoded = decodeMemberReport(encodeMemberReport(report));
    CHECK_TRUE(decoded.has_value());
    CHECK(decoded.value().incarnation == report.incarnation);
    LONGS_EQUAL(4, decoded.value().sequence);
    LONGS_EQUAL(250, decoded.value().speeds.at(0).percent);
    // A report of another version, or with an unreadable hint, still says that the instance serves.
    for (const char *speeds : {"", ",\"speeds\":7", ",\"speeds\":{\"e1\":\"x\"}"}) {
        const auto other = decodeMemberReport(R"({"incarnation":"i","sequence":4)" + std::string(speeds) + "}");
        CHECK_TRUE(other.has_value() && other.value().speeds.empty());
    }
    CHECK_FALSE(decodeMemberReport("{}").has_value());
    CHECK_FALSE(decodeMemberReport("\xff").has_value());
}
