#include "endpoints/endpoints_supervisor.h"
#include "http/http_server.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto guardTime = 20s;

const std::string firstEvent = "id: 0\ndata: {\"choices\":[{\"text\":\" a\",\"finish_reason\":null}]}\n\n";
const std::string lastEvent = "id: 1\ndata: {\"choices\":[{\"text\":\" b\",\"finish_reason\":\"length\"}]}\n\n";
const std::string usageEvent = "id: 2\ndata: {\"choices\":[],\"usage\":{\"prompt_tokens\":4,\"completion_tokens\":2}}\n\n";
const std::string doneEvent = "data: [DONE]\n\n";

/// An endpoints_supervisor with one endpoint, a fake engine on the same event loop, and the received reports. The guard timer ends a test
/// that would hang.
struct fixture
{
    event_loop loop;
    std::function<void(const std::shared_ptr<http_exchange> &)> onRequest;
    std::vector<std::shared_ptr<http_exchange>> exchanges;
    http_server server;
    std::shared_ptr<mailbox<attempt_event>> events;
    std::vector<attempt_event> received;
    std::vector<load_report> loads;
    std::vector<endpoint_unreachable> unreachable;
    std::function<bool()> isDone;
    std::shared_ptr<mailbox<endpoints_message>> box;
    std::unique_ptr<endpoints_supervisor> endpoints;
    timer guard;
    bool isTimedOut = false;

    explicit fixture(std::size_t eventCapacity = 100)
        : server(loop,
                 {},
                 [this](const std::shared_ptr<http_exchange> &exchange) {
                     exchanges.push_back(exchange);
                     if (onRequest) {
                         onRequest(exchange);
                     }
                     stopWhenDone();
                 })
        , events(std::make_shared<mailbox<attempt_event>>(loop, eventCapacity))
        , box(std::make_shared<mailbox<endpoints_message>>(loop, 100))
        , guard(loop, [this] {
            isTimedOut = true;
            loop.stop();
        })
    {
        endpoint_report_sinks reports;
        reports.attempts = sink<attempt_event>([to = address<attempt_event>(events)](attempt_event &&event) { return to.post(event); });
        reports.load = sink<load_report>([this](const load_report &report) { return recordReport(loads, report); });
        reports.unreachable =
            sink<endpoint_unreachable>([this](const endpoint_unreachable &report) { return recordReport(unreachable, report); });
        endpoints = std::make_unique<endpoints_supervisor>(loop, box, reports);
        CHECK_TRUE(endpoints->start().has_value());
        setAddress(server.listen({"127.0.0.1", 0}).value());
        receiveEvents();
        guard.start(guardDeadline());
    }

    template<typename Report>
    post_result recordReport(std::vector<Report> &reports, const Report &report)
    {
        reports.push_back(report);
        stopWhenDone();
        return post_result::delivered;
    }

    void receiveEvents()
    {
        events->attach([this](attempt_event &&event) {
            received.push_back(std::move(event));
            stopWhenDone();
        });
    }

    void stopWhenDone()
    {
        if (isDone && isDone()) {
            loop.stop();
        }
    }

    void setAddress(const socket_address &engine)
    {
        auto view = std::make_shared<state_view>();
        view->config.endpoints[endpoint_id("e")].address = engine;
        CHECK_TRUE(box->post(endpoints_changed {view}) == post_result::delivered);
    }

    void send(endpoint_task_message message)
    {
        CHECK_TRUE(box->post(endpoint_envelope {endpoint_id("e"), std::move(message)}) == post_result::delivered);
    }

    void runUntil(std::function<bool()> condition)
    {
        isDone = std::move(condition);
        if (!isDone()) {
            loop.run();
        }
        CHECK_FALSE(isTimedOut);
    }

    void runUntilEnded()
    {
        runUntil([this] { return !received.empty() && !std::holds_alternative<decode_event>(received.back()); });
    }

    template<typename Event>
    const Event &last() const
    {
        CHECK_TRUE(std::holds_alternative<Event>(received.back()));
        return std::get<Event>(received.back());
    }

    static deadline guardDeadline()
    {
        return deadline::after(boot_clock::now(), guardTime);
    }

    static decode_call decode(deadline until = guardDeadline(), boot_clock::duration interEventTimeout = guardTime)
    {
        const model_request model {service_id("m"), false, true, token_count(2), byte_count(1), R"({"prompt":"p"})"};
        return {attempt_id("a1"), request_id("r1"), model, {}, 0, "", until, interEventTimeout};
    }

    void answerStream(const std::vector<std::string> &pieces)
    {
        onRequest = [pieces](const std::shared_ptr<http_exchange> &exchange) {
            exchange->startStream(200, {});
            for (const std::string &piece : pieces) {
                exchange->sendData(piece);
            }
            exchange->endStream();
        };
    }
};

} // namespace

TEST_GROUP(endpoint_tasks) {};

// Guards against lost or renumbered events and against missing usage.
TEST(endpoint_tasks, reportADecodeStream)
{
    fixture f;
    f.answerStream({firstEvent + lastEvent.substr(0, 9), lastEvent.substr(9), usageEvent, doneEvent});
    f.send(fixture::decode());
    f.runUntilEnded();
    CHECK_EQUAL(4U, f.received.size());
    const auto &second = std::get<decode_event>(f.received[1]);
    CHECK_EQUAL(1, second.position);
    STRCMP_EQUAL(" b", second.text.c_str());
    CHECK_TRUE(std::get<decode_event>(f.received[2]).isUsageOnly);
    CHECK_EQUAL(2, f.last<decode_done>().usage.completion.value());
    CHECK_TRUE(f.last<decode_done>().isUsageKnown);
}

// Guards against a stream that is reported as complete although its end or one of its events is missing.
TEST(endpoint_tasks, rejectTruncatedStreams)
{
    const std::vector<std::vector<std::string>> streams = {
        {}, {firstEvent}, {firstEvent, doneEvent}, {firstEvent, lastEvent, usageEvent}, {lastEvent, usageEvent, doneEvent}};
    for (const auto &stream : streams) {
        fixture f;
        f.answerStream(stream);
        f.send(fixture::decode());
        f.runUntilEnded();
        CHECK_TRUE(f.last<attempt_failed>().cause.code == error_code::connection_lost);
        CHECK_FALSE(f.last<attempt_failed>().isNotSent);
    }
}

// Guards against events that are repeated or skipped when a stream is resumed, and against losing the finish reason of an earlier event.
TEST(endpoint_tasks, resumeByPosition)
{
    fixture f;
    f.answerStream({firstEvent, lastEvent, usageEvent, doneEvent});
    f.send(resume_call {attempt_id("a2"), request_id("r1"), 2, "length", fixture::guardDeadline(), guardTime});
    f.runUntilEnded();
    STRCMP_EQUAL("/v1/requests/r1/events?from=2", f.exchanges.at(0)->request().target.c_str());
    CHECK_EQUAL(2U, f.received.size());
    CHECK_EQUAL(2, std::get<decode_event>(f.received[0]).position);
    STRCMP_EQUAL("length", f.last<decode_done>().finishReason.c_str());
}

// Guards against waiting for a stalled stream until the deadline of the request.
TEST(endpoint_tasks, failAStalledStream)
{
    for (const bool hasFirstEvent : {false, true}) {
        fixture f;
        f.onRequest = [&](const std::shared_ptr<http_exchange> &exchange) {
            exchange->startStream(200, {});
            exchange->sendData(hasFirstEvent ? firstEvent : "");
        };
        const auto firstLimit = hasFirstEvent ? boot_clock::duration(guardTime) : 50ms;
        f.send(fixture::decode(deadline::after(boot_clock::now(), firstLimit), 50ms));
        f.runUntilEnded();
        CHECK_TRUE(f.last<attempt_failed>().cause.code == error_code::deadline_exceeded);
        CHECK_EQUAL(hasFirstEvent ? 2U : 1U, f.received.size());
    }
}

// Guards against an engine that continues to generate for a cancelled request, and against events that are reported after the
// cancellation.
TEST(endpoint_tasks, cancelClosesTheConnectionAndAborts)
{
    fixture f;
    bool isConnectionClosed = false;
    int aborts = 0;
    f.onRequest = [&](const std::shared_ptr<http_exchange> &exchange) {
        if (exchange->request().target == "/abort_request") {
            STRCMP_EQUAL(R"({"request_id":"r1"})", exchange->request().body.c_str());
            // The first abort fails and is retried.
            exchange->respond({++aborts == 1 ? 503 : 200, {}, {}});
            return;
        }
        exchange->setOnClosed([&] { isConnectionClosed = true; });
        exchange->startStream(200, {});
        exchange->sendData(firstEvent);
    };
    f.send(fixture::decode());
    f.runUntil([&] { return f.received.size() == 1; });
    f.events->detach();
    f.exchanges.at(0)->sendData(lastEvent + usageEvent + doneEvent);
    f.send(cancel_attempt {attempt_id("a1")});
    f.runUntil([&] { return isConnectionClosed && aborts == 2; });
    f.receiveEvents();
    f.loop.runReady();
    CHECK_TRUE(f.received.size() == 1);
}

// Guards against events that are lost or reordered while the receiver's mailbox is full.
TEST(endpoint_tasks, keepEventsForAFullMailbox)
{
    fixture f(1);
    f.answerStream({firstEvent, lastEvent, usageEvent, doneEvent});
    f.send(fixture::decode());
    f.runUntilEnded();
    CHECK_EQUAL(4U, f.received.size());
    CHECK_EQUAL(0, std::get<decode_event>(f.received[0]).position);
    CHECK_EQUAL(2, std::get<decode_event>(f.received[2]).position);
}

// Guards against reporting a request as not sent although the endpoint may have read it, and the reverse.
TEST(endpoint_tasks, knowWhetherACallWasSent)
{
    fixture f;
    f.onRequest = [](const std::shared_ptr<http_exchange> &exchange) {
        exchange->abort();
    };
    f.send(plain_call {attempt_id("p1"), {"POST", "/x", {}, "b"}, fixture::guardDeadline()});
    f.runUntil([&] { return f.received.size() == 1; });
    CHECK_FALSE(f.last<attempt_failed>().isNotSent);
    f.setAddress({"127.0.0.1", 1});
    f.send(plain_call {attempt_id("p2"), {"POST", "/x", {}, "b"}, fixture::guardDeadline()});
    f.runUntil([&] { return f.received.size() == 2; });
    CHECK_TRUE(f.last<attempt_failed>().isNotSent);
    CHECK_TRUE(f.box->post(endpoint_envelope {endpoint_id("none"), plain_call {attempt_id("p3"), {}, fixture::guardDeadline()}})
               == post_result::delivered);
    f.runUntil([&] { return f.received.size() == 3; });
    CHECK_TRUE(f.last<attempt_failed>().isNotSent);
}

// Guards against an API key that reaches an endpoint in a header field that the front end did not remove.
TEST(endpoint_tasks, passPlainCallsOnWithoutKeys)
{
    fixture f;
    f.onRequest = [](const std::shared_ptr<http_exchange> &exchange) {
        exchange->respond({404, {{"X-A", "b"}}, "whole"});
    };
    const http_headers headers = {
        {"authorization", "Bearer k"}, {"X-API-Key", "k"}, {"Cookie", "api_key=k"}, {"Connection", "close"}, {"X-B", "c"}};
    f.send(plain_call {attempt_id("p1"), {"PUT", "/x?y=z", headers, "b"}, fixture::guardDeadline()});
    f.runUntilEnded();
    CHECK_EQUAL(404, f.last<plain_done>().response.status);
    STRCMP_EQUAL("whole", f.last<plain_done>().response.body.c_str());
    const http_request &seen = f.exchanges.at(0)->request();
    STRCMP_EQUAL("/x?y=z", seen.target.c_str());
    STRCMP_EQUAL("c", std::string(seen.headers.value("X-B")).c_str());
    CHECK_FALSE(seen.headers.has("Authorization") || seen.headers.has("X-Api-Key") || seen.headers.has("Cookie"));
}

// Guards against prefill results, load reports and results of orders that are not reported.
TEST(endpoint_tasks, reportPrefillsLoadAndOrders)
{
    fixture f;
    f.onRequest = [](const std::shared_ptr<http_exchange> &exchange) {
        const std::string target = exchange->request().target;
        if (target == "/load") {
            exchange->respond({200, {}, R"({"used":1,"total":20,"incarnation":"i"})"});
        } else if (target == "/v1/orders") {
            exchange->respond({409, {}, {}});
        } else {
            exchange->respond({200, {}, R"({"kv_transfer_params":{"x":1},"usage":{"prompt_tokens":4,"completion_tokens":1}})"});
        }
    };
    const decode_call sampleCall = fixture::decode();
    f.send(prefill_call {attempt_id("a1"), sampleCall.request, sampleCall.model, 0, fixture::guardDeadline()});
    f.runUntilEnded();
    STRCMP_EQUAL(R"({"x":1})", f.last<prefill_done>().kv.parameters.c_str());
    f.send(load_query {});
    f.runUntil([&] { return f.loads.size() == 1; });
    CHECK_EQUAL(20, f.loads[0].total.value());
    std::vector<error> orders;
    f.send(endpoint_order {"load_model", "m", fencing_token(3), sink<outcome<void>>([&](const outcome<void> &answer) {
                               return f.recordReport(orders, answer.error());
                           })});
    f.runUntil([&] { return orders.size() == 1; });
    CHECK_TRUE(orders[0].code == error_code::stale_epoch);
    f.setAddress({"127.0.0.1", 1});
    f.send(load_query {});
    f.runUntil([&] { return f.unreachable.size() == 1; });
}

// Guards against attempts that are cut off or get no terminal event when their endpoint is removed from the configuration.
TEST(endpoint_tasks, finishRunningAttemptsOfARemovedEndpoint)
{
    fixture f;
    f.onRequest = [](const std::shared_ptr<http_exchange> &exchange) {
        exchange->startStream(200, {});
        exchange->sendData(firstEvent);
    };
    f.send(fixture::decode());
    f.runUntil([&] { return f.received.size() == 1; });
    CHECK_TRUE(f.box->post(endpoints_changed {std::make_shared<state_view>()}) == post_result::delivered);
    f.loop.runReady();
    f.exchanges.at(0)->sendData(lastEvent + usageEvent + doneEvent);
    f.exchanges.at(0)->endStream();
    f.runUntilEnded();
    CHECK_TRUE(f.last<decode_done>().isUsageKnown);
    f.loop.runReady();
    CHECK_FALSE(f.endpoints->hasChild("e#1"));
}
