#include "gateway/gateway_fleet.h"

#include "standins/users_platform/scripted_endpoint.h"

using namespace burdockshelf;

namespace
{

std::string withVersion(std::string entry, const std::string &version)
{
    const std::string old = R"("version":"v1")";
    return entry.replace(entry.find(old), old.size(), R"("version":")" + version + "\"");
}

std::string resumableConfig()
{
    return R"({"version":5,"routes":[
 {"name":"text","host":"127.0.0.1","path_prefix":"/text/","kind":"streaming","timeout_ms":5000,"service":"engine","max_attempts":1,
  "resumable":true}],
 "services":[{"name":"engine","max_conns":100,"engine":{"slots":8,"kv_capacity":40000}}]})";
}

/// Answers of an engine that breaks off every new stream after its first event, and completes the streams that are resumed.
void answer(scripted_connection &from, const http_request &request)
{
    if (request.path() == "/hold-take") {
        const std::string body = R"({"hold":"room"})";
        from.write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    } else if (request.headers.has("Last-Event-Id")) {
        from.write(scripted_endpoint::success(request, "id: 2\ndata: b\n\n"));
    } else if (request.headers.has("X-Token-Counts")) {
        const std::string event = "id: 1\ndata: a\n\n";
        std::string head = scripted_endpoint::success(request, event);
        head.replace(head.find("Content-Length: "),
                     std::string("Content-Length: ").size() + std::to_string(event.size()).size(),
                     "Content-Length: 1000");
        from.write(head);
        from.finishWriting();
    }
}

} // namespace

/// Two gateways and two decode engines of different versions.
TEST_GROUP(stream_versions)
{
    gateway_fleet fleet;
    scripted_endpoint old {fleet.loop};
    scripted_endpoint fresh {fleet.loop};
    int lastRequest = 0;

    void setup() override
    {
        for (scripted_endpoint *engine : {&old, &fresh}) {
            engine->setRequestHandler(&answer);
        }
        fleet.store.put("keyed.op", "config", resumableConfig());
        fleet.store.drop("keyed.servers", "d");
        fleet.store.put("keyed.servers", "r", withVersion(fleet.prefill.entry("engine", "z", "prefill"), "v2"));
        fleet.store.put("keyed.servers", "old", withVersion(old.entry("engine", "z", "decode"), "v1"));
        fleet.store.put("keyed.servers", "fresh", withVersion(fresh.entry("engine", "z", "decode"), "v2"));
        for (const std::size_t gateway : {0, 1}) {
            fleet.waitForLog(gateway, "plan=5");
            fleet.waitForLog(gateway, "event=ready");
        }
        while (!fleet.isTimedOut && (countRuns(old) == 0 || countRuns(fresh) == 0)) {
            begin(0);
        }
    }

    void wait(std::chrono::milliseconds time)
    {
        fleet.pause.start(deadline::after(boot_clock::now(), time));
        fleet.loop.run();
    }

    http_response send(std::size_t gateway, const std::string &id, const http_headers &headers)
    {
        http_client client(fleet.loop, fleet.gateways[gateway]->callerAddress());
        http_request request;
        request.method = "POST";
        request.target = "/text/x";
        request.headers = headers;
        request.headers.add("X-Attempt-Id", id);
        request.headers.add("X-Deadline-Ms", "4000");
        request.headers.add("X-Token-Counts", "100,10");
        request.body = "prompt";
        http_response response;
        response.status = 0;
        http_call_handlers handlers;
        handlers.onDone = [&](http_call_result result) {
            if (result) {
                response = std::move(result.value());
            }
            fleet.loop.stop();
        };
        client.send(request, std::move(handlers), deadline::after(boot_clock::now(), guardTime));
        fleet.loop.run();
        return response;
    }

    /// Begins a stream that breaks off, and returns its id.
    std::string begin(std::size_t gateway)
    {
        std::string id = "s" + std::to_string(++lastRequest);
        send(gateway, id, {});
        return id;
    }

    /// Begins streams until one has begun at the engine.
    std::string beginAt(const scripted_endpoint &engine, std::size_t gateway)
    {
        while (!fleet.isTimedOut) {
            const std::size_t before = countRuns(engine);
            std::string id = begin(gateway);
            if (countRuns(engine) > before) {
                return id;
            }
        }
        return {};
    }

    http_response resume(std::size_t gateway, const std::string &stream)
    {
        return send(gateway, "t" + std::to_string(++lastRequest), {{"Resumes", stream}, {"Last-Event-Id", "1"}});
    }

    /// Resumes the stream until a gateway that has just started serves.
    http_response resumeWhenReady(std::size_t gateway, const std::string &stream)
    {
        http_response response = resume(gateway, stream);
        while (!fleet.isTimedOut && response.body.find("not_ready") != std::string::npos) {
            wait(20ms);
            response = resume(gateway, stream);
        }
        return response;
    }

    static std::size_t countRuns(const scripted_endpoint &engine)
    {
        std::size_t runs = 0;
        for (const http_request &request : engine.requests()) {
            runs += request.headers.has("X-Token-Counts") ? 1 : 0;
        }
        return runs;
    }
};

// Guards against a stream that its caller resumes and that goes on at another version, at the instance that began it, at another one, and
// after all instances were lost at once.
TEST(stream_versions, areKeptWhenACallerTakesItsStreamUp)
{
    const std::string atOld = beginAt(old, 0);
    const std::string atFresh = beginAt(fresh, 0);
    // Until the streams are recorded, the other instance refuses them.
    while (!fleet.isTimedOut && resume(1, atFresh).status != 200) {
        wait(20ms);
    }
    const std::size_t runsAtOld = countRuns(old);
    const std::size_t runsAtFresh = countRuns(fresh);
    for (const std::size_t gateway : {0, 1}) {
        LONGS_EQUAL(200, resume(gateway, atOld).status);
    }
    LONGS_EQUAL(runsAtOld + 2, countRuns(old));
    LONGS_EQUAL(runsAtFresh, countRuns(fresh));
    for (const std::size_t gateway : {0, 1}) {
        fleet.start(gateway);
    }
    for (const std::size_t gateway : {0, 1}) {
        LONGS_EQUAL(200, resumeWhenReady(gateway, atOld).status);
    }
    LONGS_EQUAL(runsAtOld + 4, countRuns(old));
    LONGS_EQUAL(runsAtFresh, countRuns(fresh));
    CHECK_FALSE(fleet.isTimedOut);
}

// Guards against a resumption that begins at whatever version is there when the one of the stream is not known or has left, and against one
// that is kept waiting.
TEST(stream_versions, refuseAResumptionThatCannotGoOn)
{
    const std::string atOld = beginAt(old, 0);
    const std::size_t runs = countRuns(old) + countRuns(fresh);
    for (const std::string stream : {"unknown", ""}) {
        const http_response refused = resume(1, stream);
        LONGS_EQUAL(503, refused.status);
        STRCMP_CONTAINS("stream_unknown", refused.body.c_str());
    }
    fleet.store.drop("keyed.servers", "old");
    fleet.waitForLog(0, "event=endpoint_gone endpoint=old");
    const http_response refused = resume(0, atOld);
    LONGS_EQUAL(503, refused.status);
    STRCMP_CONTAINS("stream_version_gone", refused.body.c_str());
    LONGS_EQUAL(runs, countRuns(fresh) + countRuns(old));
    CHECK_FALSE(fleet.isTimedOut);
}

// Guards against a stream that goes on at the only version which a restored store still knows, after all instances were lost.
TEST(stream_versions, areRecordedAgainAfterTheStoreCameBackFromAnOlderCopy)
{
    const std::string stream = beginAt(fresh, 0);
    while (!fleet.isTimedOut && resume(1, stream).status != 200) {
        wait(20ms);
    }
    const std::size_t runsAtOld = countRuns(old);
    fleet.store.restore({{"keyed.versions", 1}});
    // The instance that reads first writes the lost record again, so that the other one may find nothing lost.
    while (!fleet.isTimedOut && (fleet.logOf(0) + fleet.logOf(1)).find("event=records_lost") == std::string::npos) {
        wait(20ms);
    }
    for (const std::size_t gateway : {0, 1}) {
        fleet.waitForLog(gateway, "event=store_restored");
    }
    for (const std::size_t gateway : {0, 1}) {
        fleet.start(gateway);
    }
    for (const std::size_t gateway : {0, 1}) {
        LONGS_EQUAL(200, resumeWhenReady(gateway, stream).status);
    }
    LONGS_EQUAL(runsAtOld, countRuns(old));
}

// Guards against an instance that can ask neither the store nor another instance and goes on at the version that it knows.
TEST(stream_versions, areNotConcludedWithoutTheStore)
{
    const std::string stream = beginAt(fresh, 0);
    fleet.store.setSecondaryRefusing(true);
    fleet.gateways[0].reset();
    const http_response refused = resume(1, stream);
    LONGS_EQUAL(503, refused.status);
    STRCMP_CONTAINS("stream_lookup_failed", refused.body.c_str());
    CHECK_TRUE(refused.headers.has("Retry-After"));
}

// Guards against callers that cannot resume their streams at an instance because the store does not respond to it alone.
TEST(stream_versions, areLookedUpByAnotherInstanceWhileTheStoreRefusesThisOne)
{
    const std::string stream = beginAt(old, 0);
    const std::string later = beginAt(fresh, 0);
    // All open streams are recorded together, so the first one is recorded when the second one is.
    while (!fleet.isTimedOut && resume(1, later).status != 200) {
        wait(20ms);
    }
    const std::size_t runs = countRuns(old);
    fleet.waitForLog(1, "event=reader_chosen reader=one");
    fleet.store.setSecondaryRefusing(true);
    LONGS_EQUAL(200, resume(1, stream).status);
    LONGS_EQUAL(runs + 1, countRuns(old));
}

// Guards against streams that can be resumed nowhere else because the store does not respond to the instance that began them.
TEST(stream_versions, areRecordedByAnotherInstanceWhileTheStoreRefusesThisOne)
{
    fleet.waitForLog(1, "event=reader_chosen reader=one");
    fleet.store.setSecondaryRefusing(true);
    const std::string stream = beginAt(fresh, 1);
    const std::size_t runs = countRuns(fresh);
    while (!fleet.isTimedOut && resume(0, stream).status != 200) {
        wait(20ms);
    }
    CHECK_FALSE(fleet.isTimedOut);
    LONGS_EQUAL(runs + 1, countRuns(fresh));
}

// Guards against an instance that calls the store tens of times a second while the store refuses it.
TEST(stream_versions, areReadLessOftenWhileTheStoreRefusesTheInstance)
{
    fleet.store.setSecondaryRefusing(true);
    resume(1, "unknown");
    wait(1s);
    const std::string log = fleet.logOf(1);
    int failures = 0;
    for (std::size_t at = log.find("call=read_versions"); at != std::string::npos; at = log.find("call=read_versions", at + 1)) {
        ++failures;
    }
    // Delays of up to 40, 80, 160, 320 and then 400 ms, drawn from their upper halves.
    CHECK(failures >= 2);
    CHECK(failures <= 9);
}
