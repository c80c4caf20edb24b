#include "gateway/raw_caller.h"
#include "gateway/scripted_deployment.h"

#include <list>
#include <set>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto gracePeriod = 5000ms;
constexpr auto sendInterval = 100ms;

struct sent_request
{
    std::string id;
    std::string target;
    std::unique_ptr<raw_caller> caller;
};

bool isEndpointRun(const http_request &request)
{
    return request.path() != "/hold-take" && !request.headers.has("X-Stage");
}

} // namespace

// A planned stop of one instance while nothing else is wrong. Guards against requests that are taken late in the grace period and cut
// without an answer at its end, among them requests that may not be repeated.
TEST_GROUP(planned_stop)
{
    scripted_deployment site;
    std::list<sent_request> sent;
    std::vector<std::unique_ptr<timer>> delays;
    int lastId = 0;

    void setup() override
    {
        site.gracePeriod = gracePeriod;
    }

    static std::string text(const std::string &method, const std::string &target, const std::string &id, std::chrono::milliseconds allowed)
    {
        const bool isModelCall = target.starts_with("/text/") || target.starts_with("/resumed/");
        return method + " " + target + " HTTP/1.1\r\nHost: 127.0.0.1\r\nX-Attempt-Id: " + id
            + "\r\nX-Deadline-Ms: " + std::to_string(allowed.count()) + "\r\nAuthorization: Bearer k1\r\n"
            + (isModelCall ? "X-Token-Counts: 1000,50\r\n" : "") + (method == "POST" ? "Content-Length: 1\r\n\r\nx" : "\r\n");
    }

    void send(const std::string &method, const std::string &target, std::chrono::milliseconds allowed)
    {
        const std::string id = "s" + std::to_string(++lastId);
        sent.push_back({id, target, std::make_unique<raw_caller>(site.loop, site.gateway->callerAddress())});
        sent.back().caller->send(text(method, target, id, allowed));
    }

    // Endpoints that respond after a time of their own: at once, after the given delay, or never.
    void answerAfter(std::chrono::milliseconds delay, bool isForever)
    {
        for (scripted_endpoint *endpoint : {&site.plain, &site.decode}) {
            endpoint->setRequestHandler([this, delay, isForever](scripted_connection &from, const http_request &request) {
                if (!isEndpointRun(request)) {
                    scripted_deployment::answer(from, request);
                    return;
                }
                if (isForever) {
                    return;
                }
                delays.push_back(std::make_unique<timer>(site.loop, [&from, request] { scripted_deployment::answer(from, request); }));
                delays.back()->start(deadline::after(boot_clock::now(), delay));
            });
        }
    }

    // Stops the gateway and sends one request of each kind at each moment of the grace period.
    void sendThroughoutTheStop()
    {
        const instant begun = boot_clock::now();
        site.gateway->beginShutdown();
        while (!site.hasEnded && boot_clock::now() - begun < gracePeriod && !site.isTimedOut) {
            for (const auto allowed : {300ms, 1500ms, 4000ms}) {
                send("GET", "/safe/x", allowed);
                send("POST", "/unsafe/x", allowed);
                send("POST", "/text/x", allowed);
                send("POST", "/resumed/x", allowed);
            }
            site.pause(sendInterval);
        }
        CHECK_TRUE(site.hasEnded);
        CHECK(boot_clock::now() - begun < gracePeriod);
        site.pause(100ms);
    }

    std::set<std::string> idsRun() const
    {
        std::set<std::string> ids;
        for (const scripted_endpoint *endpoint : {&site.plain, &site.decode}) {
            for (const http_request &request : endpoint->requests()) {
                const std::string id(request.headers.value("X-Attempt-Id"));
                const bool isOfThisTest = id.starts_with("s");
                if (isOfThisTest && isEndpointRun(request)) {
                    ids.insert(id);
                }
            }
        }
        return ids;
    }

    // What was passed on has an answer, or a stream that visibly breaks off; "not run" is true.
    void checkAnswers()
    {
        const std::set<std::string> run = idsRun();
        std::size_t passedOn = 0;
        for (const sent_request &each : sent) {
            const bool hasRun = run.count(each.id) > 0;
            passedOn += hasRun ? 1 : 0;
            if (hasRun) {
                CHECK_TEXT(each.caller->status() != 0, (each.id + " " + each.target + " was cut without an answer").c_str());
                CHECK_TEXT(each.caller->status() != 503, (each.id + " " + each.target + " ran and is answered as not run").c_str());
            }
        }
        CHECK(passedOn > 0);
        CHECK(site.logText().find("event=response_cut") == std::string::npos);
    }
};

TEST(planned_stop, answersAllThatItTakesWhenEndpointsAreSlow)
{
    site.startServing();
    answerAfter(1000ms, false);
    sendThroughoutTheStop();
    checkAnswers();
    for (const sent_request &each : sent) {
        if (idsRun().count(each.id) > 0 && each.caller->status() == 200) {
            CHECK_TRUE(each.caller->isComplete());
        }
    }
}

TEST(planned_stop, answersAllThatItTakesWhenEndpointsAreSilent)
{
    site.startServing();
    answerAfter(0ms, true);
    sendThroughoutTheStop();
    checkAnswers();
}

// A caller whose request is passed on can wait for the whole time that its route allows.
TEST(planned_stop, takesNothingThatMayOutlastTheGracePeriod)
{
    site.startServing();
    answerAfter(0ms, true);
    const instant begun = boot_clock::now();
    site.gateway->beginShutdown();
    site.pause(2500ms);
    send("POST", "/unsafe/x", 4000ms);
    send("POST", "/resumed/x", 4000ms);
    send("POST", "/unsafe/x", 600ms);
    site.pause(300ms);
    LONGS_EQUAL(503, std::next(sent.begin(), 0)->caller->status());
    CHECK_TRUE(std::next(sent.begin(), 0)->caller->headers().has("Retry-After"));
    LONGS_EQUAL(503, std::next(sent.begin(), 1)->caller->status());
    const std::set<std::string> run = idsRun();
    LONGS_EQUAL(1, run.size());
    CHECK(run.count(std::next(sent.begin(), 2)->id) > 0);
    while (!site.hasEnded && !site.isTimedOut) {
        site.loop.run();
    }
    CHECK(boot_clock::now() - begun < gracePeriod);
    LONGS_EQUAL(504, std::next(sent.begin(), 2)->caller->status());
}

// Guards against streams that arrive after the load balancer has left the instance, are taken because recent streams were short, and are
// cut in the middle at the end of the grace period.
TEST(planned_stop, takesNoLateStreamThatMayOutlastTheGracePeriod)
{
    site.startServing();
    for (int i = 0; i < 5; ++i) {
        LONGS_EQUAL(200, site.call("POST", "/text/x").status);
        LONGS_EQUAL(200, site.call("POST", "/resumed/x").status);
    }
    answerAfter(0ms, true);
    site.gateway->beginShutdown();
    site.pause(100ms);
    send("POST", "/text/x", 4900ms);
    site.pause(1400ms);
    for (const std::string target : {"/text/x", "/resumed/x"}) {
        send("POST", target, 4900ms);
    }
    site.pause(300ms);
    const std::set<std::string> run = idsRun();
    LONGS_EQUAL(1, run.size());
    CHECK(run.count(sent.front().id) > 0);
    for (auto late = std::next(sent.begin()); late != sent.end(); ++late) {
        LONGS_EQUAL(503, late->caller->status());
        CHECK_TRUE(late->caller->headers().has("Retry-After"));
    }
}

// Requests from before the stop that are still running at its end get an answer, on kept connections as well.
TEST(planned_stop, answersWhatStillRunsAtTheEndOfTheGracePeriod)
{
    site.startServing();
    answerAfter(0ms, true);
    send("POST", "/unsafe/x", 15000ms);
    send("GET", "/safe/x", 15000ms);
    site.pause(200ms);
    site.gateway->beginShutdown();
    while (!site.hasEnded && !site.isTimedOut) {
        site.loop.run();
    }
    site.pause(100ms);
    checkAnswers();
}
