// Endpoints, a store and an instance that send without end to one gateway process: it must stay alive and within the memory of its machine,
// close the connection, tell its callers the truth, and answer an ordinary request afterwards. The numbers of requests and bytes are fixed.

#include "fault_play.h"
#include "talkative_peer.h"

#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;

namespace
{

const faulty_response noResponse = {"no response", "", ""};

} // namespace

TEST_GROUP(endless_responses)
{
    fault_play calls;
};

// A reservation is granted in some thirty bytes.
TEST(endless_responses, toReservations)
{
    calls.play(endlessResponses(), &isReservation, "POST", "/text/x");
}

TEST(endless_responses, toPrefills)
{
    calls.play(endlessResponses(), &isPrefill, "POST", "/text/x");
}

TEST(endless_responses, toRequestsOfEngines)
{
    calls.play(endlessResponses(), &isRun, "POST", "/text/x");
}

TEST(endless_responses, toRequestsOfPlainServices)
{
    calls.play(endlessResponses(), &isRun, "POST", "/unsafe/x");
}

// Nothing waits for the response to a release. The gateway releases the reservations of callers that leave during their prefill.
TEST(endless_responses, toReleases)
{
    endless_site &site = calls.site();
    CHECK_TRUE(site.start());
    fault_series series(endlessResponses());
    site.setFaults(
        [&](const http_request &request) -> const faulty_response * {
            if (isRelease(request)) {
                return series.next();
            }
            return isPrefill(request) ? &noResponse : nullptr;
        },
        nullptr);
    constexpr int prefills = 20;
    for (std::size_t i = 0; i < 2 * endlessResponses().size(); ++i) {
        site.send("POST", "/text/x", "left");
    }
    CHECK_TRUE(site.waitFor([&] { return site.sentFaults().contains("no response") && site.sentFaults().at("no response") >= prefills; }));
    site.leave();
    CHECK_TRUE(site.waitFor([&] { return site.sentFaults().size() == endlessResponses().size() + 1; }));
    CHECK_TRUE(site.waitFor([&] { return site.areFaultyConnectionsClosed(); }));
    site.setFaults(nullptr, nullptr);
    site.checkItStands();
}

// What a gateway holds from the store must not grow with what the store sends.
TEST(endless_responses, ofTheStore)
{
    endless_site &site = calls.site();
    CHECK_TRUE(site.start());
    fault_series series(endlessResponses());
    site.setFaults(nullptr, [&](const http_request &) { return series.next(); });
    CHECK_TRUE(site.waitFor([&] { return site.sentFaults().size() == endlessResponses().size(); }));
    CHECK_TRUE(site.waitFor([&] { return site.areFaultyConnectionsClosed(); }));
    site.setFaults(nullptr, nullptr);
    site.checkItStands();
}

// The gateway asks the holder of the partitions for records.
TEST(endless_responses, ofAnotherInstance)
{
    endless_site &site = calls.site();
    talkative_peer peer(site.loop());
    http_client store(site.loop(), site.store().address());
    std::optional<int> joined;
    http_call_handlers handlers;
    handlers.onDone = [&](const http_call_result &result) {
        joined = result ? result.value().status : 0;
    };
    const std::string join = R"({"group":"duties","member":"peer@)" + peer.address().toString()
        + R"(","topics":["engine-duty","quota-pool"],"ttl_ms":3000,"generation":0})";
    store.send({"POST", "/log-join", {}, join}, std::move(handlers), deadline::after(boot_clock::now(), std::chrono::seconds(5)));
    CHECK_TRUE(site.waitFor([&] { return joined.has_value(); }));
    LONGS_EQUAL(200, *joined);
    site.store().assignPartitionsTo("peer");
    CHECK_TRUE(site.start());
    CHECK_TRUE(site.waitFor([&] { return peer.answerCount() >= 8; }));
    site.checkItStands();
}

//  Heads of very many short fields cost thirty times their bytes, and stay with the call until its body is complete.
TEST(endless_responses, headsOfManyFieldsWithoutABody)
{
    static const std::string fields = repeatedText("a:\r\n", 15'000);
    static const std::vector<faulty_response> heads = {
        {"head without its end", "HEAD" + fields, ""},
        {"body that does not come", "HEADContent-Length: 5\r\n" + fields + "\r\n", ""},
        {"stream that does not come", "HEADContent-Type: text/event-stream\r\n" + fields + "\r\n", ""},
    };
    endless_site &site = calls.site();
    CHECK_TRUE(site.start());
    fault_series series(heads);
    site.setFaults([&](const http_request &request) { return isRun(request) ? series.next() : nullptr; }, nullptr);
    for (int i = 0; i < 60; ++i) {
        calls.send("POST", "/unsafe/x");
        calls.send("POST", "/text/x");
    }
    calls.finish();
    LONGS_EQUAL(heads.size(), site.sentFaults().size());
    site.setFaults(nullptr, nullptr);
    site.checkItStands();
}

// Engines are asked for their state before they are ordered to change their stage.
TEST_GROUP(endless_responses_to_orders)
{
    // Most engines are to change their stage, one after the other.
    fault_play calls {90};
};

TEST(endless_responses_to_orders, loadReports)
{
    calls.playOwnCalls({endlessResponse("header fields"),
                        endlessResponse("body in chunks of a byte"),
                        endlessResponse("body without a length"),
                        endlessResponse("trailer fields")},
                       "/report");
}

TEST(endless_responses_to_orders, orders)
{
    calls.playOwnCalls({endlessResponse("header field"),
                        endlessResponse("body with a length"),
                        endlessResponse("body without a length"),
                        endlessResponse("chunk extension")},
                       "/order");
}
