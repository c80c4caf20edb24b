#include "gateway/gateway_tree.h"

#include "http/http_client.h"
#include "platform/platform.h"
#include "standins/users_platform/standin_backend.h"
#include "standins/users_platform/standin_store.h"

#include <fcntl.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto guardTime = 20s;
// One request costs about a fifth of what the workspace may use at once.
constexpr const char *requestTokens = "8000,1000";

constexpr const char *configText = R"({"version":3,"routes":[
 {"name":"text","host":"127.0.0.1","path_prefix":"/text/","kind":"streaming","timeout_ms":5000,"service":"engine","max_attempts":1}],
 "services":[{"name":"engine","max_conns":100,"engine":{"slots":8,"kv_capacity":40000}}],
 "tenants":[{"name":"w","api_keys":["k1"],"unit":"tokens","plain_tokens":200,"rate_per_s":47000,"burst":47000}]})";

/// Several gateways on one loop around one store and one pair of engines.
struct gateway_pair
{
    event_loop loop;
    timer guard;
    timer pause;
    bool isTimedOut = false;
    standin_store store;
    standin_backend prefill;
    standin_backend decode;
    platform_adapter adapter;
    int log = ::open("/dev/null", O_WRONLY);
    std::vector<std::unique_ptr<gateway_tree>> gateways;

    gateway_pair()
        : guard(loop,
                [this] {
                    isTimedOut = true;
                    loop.stop();
                })
        , pause(loop, [this] { loop.stop(); })
        , store(loop)
        , prefill(loop, "r")
        , decode(loop, "d")
    {
        guard.start(deadline::after(boot_clock::now(), guardTime));
        store.put("keyed.op", "config", configText);
        store.put("keyed.servers", "r", prefill.entry("engine", "z", "prefill"));
        store.put("keyed.servers", "d", decode.entry("engine", "z", "decode"));
        // Many more instances report than run, so that each has a small share of its own.
        for (int i = 0; i < 60; ++i) {
            store.put("keyed.members", "other-" + std::to_string(i), R"({"incarnation":"x","sequence":1})");
        }
        for (const char *name : {"one", "two"}) {
            gateway_settings settings;
            settings.instance = instance_id(name);
            settings.dataCentre = data_centre_id("z");
            settings.callerAddress = settings.readinessAddress = settings.metricsAddress = settings.peerAddress = {"127.0.0.1", 0};
            settings.storeAddress = store.address();
            settings.quotaParts = 4;
            gateways.push_back(std::make_unique<gateway_tree>(loop, settings, adapter.dialects(), log, [](int) {}));
            CHECK_TRUE(gateways.back()->start().has_value());
        }
    }

    ~gateway_pair()
    {
        gateways.clear();
        ::close(log);
    }

    int call(std::size_t gateway)
    {
        http_client client(loop, gateways[gateway]->callerAddress());
        http_request request;
        request.method = "POST";
        request.target = "/text/x";
        request.headers = {
            {"X-Attempt-Id", "a"}, {"X-Deadline-Ms", "4000"}, {"Authorization", "Bearer k1"}, {"X-Token-Counts", requestTokens}};
        request.body = "prompt";
        int status = 0;
        http_call_handlers handlers;
        handlers.onDone = [&](const http_call_result &result) {
            status = result ? result.value().status : -1;
            loop.stop();
        };
        client.send(request, std::move(handlers), deadline::after(boot_clock::now(), guardTime));
        loop.run();
        return status;
    }

    // What has to spread does so without sleeps of a fixed length.
    bool callUntil(std::size_t gateway, int status)
    {
        while (!isTimedOut) {
            if (call(gateway) == status) {
                return true;
            }
            pause.start(deadline::after(boot_clock::now(), 20ms));
            loop.run();
        }
        return false;
    }
};

} // namespace

TEST_GROUP(quota_pools) {};

// A request is larger than the share of one of 60 instances; an instance that holds no part of the pool must get its tokens from one that
// does, also after the store has dealt the parts to another.
TEST(quota_pools, serveRequestsThatAreLargerThanAnInstancesShare)
{
    gateway_pair site;
    site.store.dealTo("one");
    CHECK_TRUE(site.callUntil(1, 200));
    CHECK_TRUE(site.callUntil(1, 200));
    site.store.dealTo("two");
    CHECK_TRUE(site.callUntil(0, 200));
    CHECK_TRUE(site.callUntil(0, 200));
    CHECK_TRUE(site.callUntil(1, 200));
}

// What the pool has paid for a request that was refused by the endpoints must be there for the next one.
TEST(quota_pools, getBackWhatARefusedRequestHasNotUsed)
{
    gateway_pair site;
    site.store.dealTo("one");
    CHECK_TRUE(site.callUntil(1, 200));
    site.store.drop("keyed.servers", "d");
    CHECK_TRUE(site.callUntil(1, 503));
    int refusals = 0;
    for (int round = 0; round < 20; ++round) {
        refusals += site.call(1) == 503 ? 1 : 0;
    }
    // Twenty requests cost six times the workspace's burst.
    LONGS_EQUAL(20, refusals);
}
