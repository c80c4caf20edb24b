#pragma once

#include "gateway/gateway_tree.h"

#include "http/http_client.h"
#include "platform/platform.h"
#include "standins/users_platform/standin_backend.h"
#include "standins/users_platform/standin_store.h"
#include "support/scratch_folder.h"

#include <chrono>
#include <fstream>
#include <optional>
#include <sstream>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

namespace burdockshelf
{

using namespace std::chrono_literals;

constexpr auto guardTime = 20s;
// One request costs about a fifth of the workspace's burst.
constexpr const char *largeRequestTokens = "8000,1000";

inline std::string fleetConfig(int version, const std::string &key)
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
    /// For the gateways that are started from now on.
    std::optional<double> exposeShare;

    /// Member reports of instances that do not run make the share of each instance small and the readers more.
    explicit gateway_fleet(int otherMembers = 60)
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
        store.put("keyed.op", "config", fleetConfig(3, "k1"));
        store.put("keyed.servers", "r", prefill.entry("engine", "z", "prefill"));
        store.put("keyed.servers", "d", decode.entry("engine", "z", "decode"));
        for (int i = 0; i < otherMembers; ++i) {
            store.put("keyed.members", "other-" + std::to_string(i), R"({"incarnation":"x","sequence":1})");
        }
        for (const char *name : {"one", "two"}) {
            logs.push_back(::open(scratch.path(name).c_str(), O_WRONLY | O_CREAT, S_IRUSR | S_IWUSR));
            gateways.emplace_back();
            start(gateways.size() - 1);
        }
    }

    ~gateway_fleet()
    {
        gateways.clear();
        for (const int log : logs) {
            ::close(log);
        }
    }

    /// Starts a gateway, after ending its earlier process.
    void start(std::size_t gateway)
    {
        // The second gateway uses the store's secondary address, so that the store can refuse that gateway only.
        const bool isSecond = gateway == 1;
        gateway_settings settings;
        settings.instance = instance_id(isSecond ? "two" : "one");
        settings.dataCentre = data_centre_id("z");
        settings.callerAddress = settings.readinessAddress = settings.metricsAddress = settings.peerAddress = {"127.0.0.1", 0};
        settings.storeAddress = isSecond ? store.secondaryAddress() : store.address();
        settings.quotaPartitions = 4;
        settings.exposeShare = exposeShare;
        gateways[gateway].reset();
        gateways[gateway] = std::make_unique<gateway_tree>(loop, settings, adapter.dialects(), logs[gateway], [](int) {});
        CHECK_TRUE(gateways[gateway]->start().has_value());
    }

    int call(std::size_t gateway, const std::string &key = "k1")
    {
        http_request request;
        request.headers = {{"Authorization", "Bearer " + key}, {"X-Token-Counts", largeRequestTokens}};
        return call(gateway, std::move(request));
    }

    /// Sends a request to the engines' route; the given request has the headers that differ between tests.
    int call(std::size_t gateway, http_request request)
    {
        http_client client(loop, gateways[gateway]->callerAddress());
        request.method = "POST";
        request.target = "/text/x";
        request.headers.add("X-Attempt-Id", "a");
        request.headers.add("X-Deadline-Ms", "4000");
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

    /// Waits until the gateway's log contains a text.
    void waitForLog(std::size_t gateway, const std::string &text)
    {
        while (!isTimedOut && logOf(gateway).find(text) == std::string::npos) {
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

} // namespace burdockshelf
