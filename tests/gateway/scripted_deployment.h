#pragma once

#include "gateway/gateway_tree.h"
#include "http/http_client.h"
#include "platform/platform.h"
#include "standins/users_platform/scripted_endpoint.h"
#include "standins/users_platform/standin_store.h"
#include "support/scratch_folder.h"

#include <fcntl.h>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <unistd.h>

#include <CppUTest/TestHarness.h>

/// A gateway, the stand-in for its store and endpoints whose tests choose every byte, in one process and on one event loop. The services
/// are "plain", with one endpoint, and "engine", with a prefill and a decode endpoint.
struct scripted_deployment
{
    static constexpr std::chrono::seconds testTimeout {20};
    static constexpr std::chrono::milliseconds requestTime {4000};
    static constexpr std::chrono::milliseconds startRetryPause {5};

    burdockshelf::event_loop loop;
    burdockshelf::timer guard;
    bool isTimedOut = false;
    bool hasEnded = false;
    std::chrono::milliseconds gracePeriod {8000};
    burdockshelf::standin_store store;
    burdockshelf::scripted_endpoint plain;
    burdockshelf::scripted_endpoint prefill;
    burdockshelf::scripted_endpoint decode;
    burdockshelf::platform_adapter adapter;
    scratch_folder scratch;
    int log;
    std::unique_ptr<burdockshelf::gateway_tree> gateway;
    std::unique_ptr<burdockshelf::http_client> client;
    int lastRequest = 0;

    scripted_deployment()
        : guard(loop,
                [this] {
                    isTimedOut = true;
                    loop.stop();
                })
        , store(loop)
        , plain(loop)
        , prefill(loop)
        , decode(loop)
        , log(::open(scratch.path("log").c_str(), O_WRONLY | O_CREAT, 0600))
    {
        using namespace burdockshelf;
        guard.start(deadline::after(boot_clock::now(), testTimeout));
        for (scripted_endpoint *endpoint : {&plain, &prefill, &decode}) {
            endpoint->setRequestHandler(&scripted_deployment::answer);
        }
        store.put("keyed.op", "config", configuration());
        store.put("keyed.servers", "p", plain.entry("plain", "z"));
        store.put("keyed.servers", "r", prefill.entry("engine", "z", "prefill"));
        store.put("keyed.servers", "d", decode.entry("engine", "z", "decode"));
    }

    ~scripted_deployment()
    {
        gateway.reset();
        ::close(log);
    }

    static std::string configuration()
    {
        return R"({"version":3,"routes":[
 {"name":"safe","host":"127.0.0.1","path_prefix":"/safe/","kind":"safe","timeout_ms":5000,"service":"plain","max_attempts":2},
 {"name":"unsafe","host":"127.0.0.1","path_prefix":"/unsafe/","kind":"unsafe","timeout_ms":5000,"service":"plain","max_attempts":2},
 {"name":"events","host":"127.0.0.1","path_prefix":"/events/","kind":"streaming","timeout_ms":5000,"service":"plain","max_attempts":1},
 {"name":"text","host":"127.0.0.1","path_prefix":"/text/","kind":"streaming","timeout_ms":5000,"service":"engine","max_attempts":1},
 {"name":"resumed","host":"127.0.0.1","path_prefix":"/resumed/","kind":"streaming","timeout_ms":5000,"service":"engine",
  "max_attempts":3,"resumable":true}],
 "services":[{"name":"plain","max_conns":100},{"name":"engine","max_conns":100,"engine":{"slots":8,"kv_capacity":40000}}],
 "tenants":[{"name":"w","api_keys":["k1"],"unit":"tokens","plain_tokens":200,"rate_per_s":470000,"burst":470000}]})";
    }

    // Complete responses of ordinary endpoints.
    static void answer(burdockshelf::scripted_connection &from, const burdockshelf::http_request &request)
    {
        using burdockshelf::scripted_endpoint;
        if (request.path() == "/hold-take") {
            // Calls for reservations carry no id, and neither do the responses to them.
            const std::string body = R"({"hold":"room"})";
            from.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
        } else if (request.headers.value("X-Stage") == "prefill") {
            from.write(scripted_endpoint::success(request, R"({"kv_handle":"handle","tokens":10,"version":1})"));
        } else if (request.headers.has("X-Token-Counts")) {
            from.write(scripted_endpoint::success(request, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        } else {
            from.write(scripted_endpoint::success(request, "whole"));
        }
    }

    void start()
    {
        using namespace burdockshelf;
        gateway_settings settings;
        settings.instance = instance_id("me");
        settings.dataCentre = data_centre_id("z");
        settings.callerAddress = settings.readinessAddress = settings.metricsAddress = settings.peerAddress = {"127.0.0.1", 0};
        settings.storeAddress = store.address();
        settings.gracePeriod = gracePeriod;
        settings.silenceDetectionLimit = std::chrono::milliseconds(1500);
        settings.quotas.fixed = 190000;
        gateway = std::make_unique<gateway_tree>(loop, settings, adapter.dialects(), log, [this](int) {
            hasEnded = true;
            loop.stop();
        });
        CHECK_TRUE(gateway->start().has_value());
        client = std::make_unique<http_client>(loop, gateway->callerAddress());
    }

    /// Starts the gateway and waits until it serves. The pause between the calls keeps their refusals below the lines that the request log
    /// writes in a period, so that later failures are still logged.
    void startServing()
    {
        start();
        while (call("GET", "/safe/x").status != 200 && !isTimedOut) {
            pause(startRetryPause);
        }
    }

    void pause(std::chrono::milliseconds time)
    {
        using namespace burdockshelf;
        timer end(loop, [this] { loop.stop(); });
        end.start(deadline::after(boot_clock::now(), time));
        loop.run();
    }

    /// Sends a request with an id of its own. The status is 0 if the response was not complete.
    burdockshelf::http_response call(const std::string &method, const std::string &target)
    {
        using namespace burdockshelf;
        http_request request;
        request.method = method;
        request.target = target;
        request.headers = {{"Host", "h"},
                           {"X-Attempt-Id", "a" + std::to_string(++lastRequest)},
                           {"X-Deadline-Ms", std::to_string(requestTime.count())},
                           {"Authorization", "Bearer k1"}};
        if (target.starts_with("/text/") || target.starts_with("/resumed/")) {
            request.headers.add("X-Token-Counts", "1000,50");
        }
        request.body = method == "POST" ? "content" : "";
        http_response response;
        http_call_handlers handlers;
        handlers.onDone = [&](http_call_result result) {
            response = result ? std::move(result.value()) : http_response {0, {}, ""};
            loop.stop();
        };
        client->send(request, std::move(handlers), deadline::after(boot_clock::now(), testTimeout));
        loop.run();
        CHECK_FALSE(isTimedOut);
        return response;
    }

    std::string logText() const
    {
        std::ifstream file(scratch.path("log"));
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }

    /// Requests of one id that an endpoint received, other than calls for reservations and prefills.
    static std::size_t countRuns(const burdockshelf::scripted_endpoint &endpoint, const std::string &id)
    {
        std::size_t count = 0;
        for (const burdockshelf::http_request &request : endpoint.requests()) {
            const bool isRun = request.path() != "/hold-take" && !request.headers.has("X-Stage");
            count += isRun && request.headers.value("X-Attempt-Id") == id ? 1 : 0;
        }
        return count;
    }
};
