#include "gateway/gateway_tree.h"

#include "http/http_client.h"
#include "platform/platform.h"
#include "standins/users_platform/standin_backend.h"
#include "standins/users_platform/standin_store.h"
#include "support/scratch_folder.h"

#include <fstream>
#include <sstream>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto guardTime = 20s;
// One request costs about a fifth of the workspace's burst.
constexpr const char *requestTokens = "8000,1000";

std::string configText(int version, const std::string &key)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
 {"name":"text","host":"127.0.0.1","path_prefix":"/text/","kind":"streaming","timeout_ms":5000,"service":"engine","max_attempts":1}],
 "services":[{"name":"engine","max_conns":100,"engine":{"slots":8,"kv_capacity":40000}}],
 "tenants":[{"name":"w","api_keys":[")"
        + key + R"("],"unit":"tokens","plain_tokens":200,"rate_per_s":47000,"burst":47000}]})";
}

/// Two gateways on one event loop, with a stand-in store and one pair of stand-in engines.
struct gateway_fleet
{
    event_loop loop;
    timer guard;
    timer pause;
    bool isTimedOut = false;
    standin_store store;
    standin_backend prefill;
    standin_backend decode;
    platform_adapter adapter;
    scratch_folder scratch;
    std::vector<int> logs;
    std::vector<std::unique_ptr<gateway_tree>> gateways;

    gateway_fleet()
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
        store.put("keyed.op", "config", configText(3, "k1"));
        store.put("keyed.servers", "r", prefill.entry("engine", "z", "prefill"));
        store.put("keyed.servers", "d", decode.entry("engine", "z", "decode"));
        // Member reports of 60 instances that do not run make the share of each instance small.
        for (int i = 0; i < 60; ++i) {
            store.put("keyed.members", "other-" + std::to_string(i), R"({"incarnation":"x","sequence":1})");
        }
        for (const char *name : {"one", "two"}) {
            gateway_settings settings;
            settings.instance = instance_id(name);
            // The second gateway uses the store's side address, so that the store can refuse that gateway only.
            const bool isSecond = !gateways.empty();
            settings.dataCentre = data_centre_id("z");
            settings.callerAddress = settings.readinessAddress = settings.metricsAddress = settings.peerAddress = {"127.0.0.1", 0};
            settings.storeAddress = isSecond ? store.secondaryAddress() : store.address();
            settings.quotaPartitions = 4;
            logs.push_back(::open(scratch.path(name).c_str(), O_WRONLY | O_CREAT, S_IRUSR | S_IWUSR));
            gateways.push_back(std::make_unique<gateway_tree>(loop, settings, adapter.dialects(), logs.back(), [](int) {}));
            CHECK_TRUE(gateways.back()->start().has_value());
        }
    }

    ~gateway_fleet()
    {
        gateways.clear();
        for (const int log : logs) {
            ::close(log);
        }
    }

    int call(std::size_t gateway, const std::string &key = "k1")
    {
        http_client client(loop, gateways[gateway]->callerAddress());
        http_request request;
        request.method = "POST";
        request.target = "/text/x";
        request.headers = {
            {"X-Attempt-Id", "a"}, {"X-Deadline-Ms", "4000"}, {"Authorization", "Bearer " + key}, {"X-Token-Counts", requestTokens}};
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

    std::string logOf(std::size_t gateway) const
    {
        std::ifstream file(scratch.path(gateway == 0 ? "one" : "two"));
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    // Waits until the gateway has logged that it has chosen an instance as its reader.
    void waitForReader(std::size_t gateway)
    {
        while (!isTimedOut && logOf(gateway).find("event=reader_chosen") == std::string::npos) {
            pause.start(deadline::after(boot_clock::now(), 20ms));
            loop.run();
        }
        CHECK_FALSE(isTimedOut);
    }

    // Repeats the call until it returns the status: changes need time to reach the gateway, and no fixed sleep is long enough.
    bool callUntil(std::size_t gateway, int status, const std::string &key = "k1")
    {
        while (!isTimedOut) {
            if (call(gateway, key) == status) {
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

// Guards against refusing a request that is larger than the share of one of 60 instances. An instance that holds no partition of the quota
// pool must get the tokens from the holder, also after the store has assigned the partitions to another instance.
TEST(quota_pools, serveRequestsThatAreLargerThanAnInstancesShare)
{
    gateway_fleet site;
    site.store.assignPartitionsTo("one");
    CHECK_TRUE(site.callUntil(1, 200));
    CHECK_TRUE(site.callUntil(1, 200));
    site.store.assignPartitionsTo("two");
    CHECK_TRUE(site.callUntil(0, 200));
    CHECK_TRUE(site.callUntil(0, 200));
    CHECK_TRUE(site.callUntil(1, 200));
}

// Guards against tokens that are lost when a request that the pool has granted is refused because no endpoint is available.
TEST(quota_pools, refundARefusedRequest)
{
    gateway_fleet site;
    site.store.assignPartitionsTo("one");
    CHECK_TRUE(site.callUntil(1, 200));
    site.store.drop("keyed.servers", "d");
    CHECK_TRUE(site.callUntil(1, 503));
    int refusals = 0;
    for (int round = 0; round < 20; ++round) {
        refusals += site.call(1) == 503 ? 1 : 0;
    }
    // Without refunds the quota would run out: twenty requests cost 180000 tokens, almost four times the workspace's burst.
    LONGS_EQUAL(20, refusals);
}

TEST_GROUP(read_topics) {};

// Guards against an instance that the store refuses to serve and that accepts withdrawn keys until the store serves it again.
TEST(read_topics, reachAnInstanceThatTheStoreRefuses)
{
    gateway_fleet site;
    site.store.assignPartitionsTo("one");
    CHECK_TRUE(site.callUntil(1, 200));
    site.waitForReader(1);
    site.store.setSecondaryRefusing(true);
    site.store.put("keyed.op", "config", configText(5, "k2"));
    CHECK_TRUE(site.callUntil(1, 401));
    CHECK_TRUE(site.callUntil(1, 200, "k2"));
}

// Guards against an instance that misses changes because its reader no longer responds.
TEST(read_topics, areReadAtTheStoreWhenTheReaderStops)
{
    gateway_fleet site;
    site.store.assignPartitionsTo("one");
    CHECK_TRUE(site.callUntil(1, 200));
    site.waitForReader(1);
    site.gateways.front().reset();
    site.store.put("keyed.op", "config", configText(5, "k2"));
    CHECK_TRUE(site.callUntil(1, 401));
}
