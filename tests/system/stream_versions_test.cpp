#include "soak/soak_site.h"

#include <map>
#include <optional>
#include <set>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto callLimit = 10s;
// Two instances record their open streams several times in this time.
constexpr auto recordTime = 800ms;
constexpr int streamCount = 8;
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;

const char *const configuration = R"({"version":50,"routes":[
 {"name":"text","host":"127.0.0.1","path_prefix":"/text/","kind":"streaming","timeout_ms":9000,"service":"engine","max_attempts":1,
  "resumable":true}],
 "services":[{"name":"engine","max_conns":100,"engine":{"slots":8,"kv_capacity":40000}}]})";

/// Two gateway processes and decode engines of two versions. New streams stay open after their first event; those that are resumed are
/// completed.
struct killed_fleet
{
    event_loop loop;
    soak_site site {loop, soak_plan {}, [](const standin_backend &, const std::shared_ptr<http_exchange> &) {
                    }};
    timer pauseEnd {loop, [this] {
                        loop.stop();
                    }};
    std::vector<std::shared_ptr<http_exchange>> open;
    /// The engine at which each stream began, and those at which it was resumed, by the id of the try that began it.
    std::map<std::string, std::string> begunAt;
    std::map<std::string, std::set<std::string>> resumedAt;
    int lastRequest = 0;

    killed_fleet()
    {
        site.store().put("keyed.op", "config", configuration);
        for (soak_endpoint &engine : site.endpoints()) {
            if (engine.stage == "decode") {
                list(engine, engine.id == "d1" ? "v1" : "v2");
                engine.backend->setRequestHandler(
                    [this, &engine](const std::shared_ptr<http_exchange> &exchange) { answer(engine, exchange); });
            }
        }
        CHECK_TRUE(site.start(2).has_value());
    }

    void list(const soak_endpoint &engine, const std::string &version)
    {
        nlohmann::json entry = nlohmann::json::parse(engine.backend->entry(engine.service, "z", engine.stage));
        entry["address"] = engine.link->address().toString();
        entry["version"] = version;
        site.store().put("keyed.servers", engine.id, entry.dump());
    }

    void answer(const soak_endpoint &engine, const std::shared_ptr<http_exchange> &exchange)
    {
        const http_headers &headers = exchange->request().headers;
        exchange->startStream(statusOk, engine.backend->success(exchange->request()).headers);
        if (headers.has("Last-Event-Id")) {
            resumedAt[std::string(headers.value("Resumes"))].insert(engine.id);
            exchange->sendData("id: 2\ndata: b\n\n");
            exchange->endStream();
            return;
        }
        begunAt[std::string(headers.value("X-Attempt-Id"))] = engine.id;
        exchange->sendData("id: 1\ndata: a\n\n");
        open.push_back(exchange);
    }

    void wait(std::chrono::milliseconds time)
    {
        pauseEnd.start(deadline::after(boot_clock::now(), time));
        loop.run();
    }

    static http_request streamRequest(const std::string &id)
    {
        http_request request;
        request.method = "POST";
        request.target = "/text/x";
        request.headers = {{"X-Attempt-Id", id}, {"X-Deadline-Ms", "9000"}, {"X-Token-Counts", "100,10"}};
        request.body = "prompt";
        return request;
    }

    void begin(soak_gateway &gateway)
    {
        const http_request request = streamRequest("s" + std::to_string(++lastRequest));
        http_call_handlers handlers;
        handlers.onDone = [](const http_call_result &) {
        };
        gateway.client->send(request, std::move(handlers), deadline::after(boot_clock::now(), callLimit));
    }

    http_response resume(soak_gateway &gateway, const std::string &stream)
    {
        http_request request = streamRequest("t" + std::to_string(++lastRequest));
        request.headers.add("Resumes", stream);
        request.headers.add("Last-Event-Id", "1");
        http_response response;
        response.status = 0;
        http_call_handlers handlers;
        handlers.onDone = [&](http_call_result result) {
            if (result) {
                response = std::move(result.value());
            }
            loop.stop();
        };
        gateway.client->send(request, std::move(handlers), deadline::after(boot_clock::now(), callLimit));
        loop.run();
        return response;
    }

    /// Waits until the gateway has read its configuration, without beginning or resuming any stream.
    void waitUntilReady(soak_gateway &gateway)
    {
        const deadline until = deadline::after(boot_clock::now(), callLimit);
        std::string answered;
        while (!until.hasPassed(boot_clock::now())) {
            answered = resume(gateway, "none").body;
            if (answered.find("stream_unknown") != std::string::npos) {
                return;
            }
            wait(20ms);
        }
        FAIL(answered.c_str());
    }

    /// Begins streams until some have begun at both engines.
    void beginAtBothEngines()
    {
        const deadline until = deadline::after(boot_clock::now(), callLimit);
        std::set<std::string> engines;
        while (!until.hasPassed(boot_clock::now()) && (engines.size() < 2 || begunAt.size() < streamCount)) {
            begin(site.gateways().front());
            wait(20ms);
            for (const auto &[stream, engine] : begunAt) {
                engines.insert(engine);
            }
        }
        LONGS_EQUAL(2, engines.size());
    }

    void killAll()
    {
        for (soak_gateway &gateway : site.gateways()) {
            gateway.process.kill();
        }
        wait(100ms);
        for (soak_gateway &gateway : site.gateways()) {
            CHECK_TRUE(site.startGateway(gateway).has_value());
        }
        for (soak_gateway &gateway : site.gateways()) {
            waitUntilReady(gateway);
        }
    }
};

} // namespace

TEST_GROUP(stream_versions)
{
    killed_fleet fleet;
};

// Guards against streams that their callers resume after all instances were killed at once, and that go on at another version than the one
// that began them, with nothing in the answer to show it.
TEST(stream_versions, areKeptWhenAllInstancesAreKilled)
{
    for (soak_gateway &gateway : fleet.site.gateways()) {
        fleet.waitUntilReady(gateway);
    }
    fleet.beginAtBothEngines();
    fleet.wait(recordTime);
    fleet.killAll();
    for (const auto &[stream, engine] : fleet.begunAt) {
        LONGS_EQUAL(statusOk, fleet.resume(fleet.site.gateways().back(), stream).status);
        CHECK_TRUE(fleet.resumedAt[stream] == std::set<std::string> {engine});
    }
    // The old version leaves, and all instances are killed once more.
    fleet.site.store().drop("keyed.servers", "d1");
    fleet.killAll();
    for (const auto &[stream, engine] : fleet.begunAt) {
        const int status = fleet.resume(fleet.site.gateways().back(), stream).status;
        LONGS_EQUAL(engine == "d1" ? statusUnavailable : statusOk, status);
        CHECK_TRUE(fleet.resumedAt[stream] == std::set<std::string> {engine});
    }
}
