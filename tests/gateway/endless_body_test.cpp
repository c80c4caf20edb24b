#include "gateway/endpoint_client_task.h"
#include "gateway/serial_http_client.h"
#include "platform/platform.h"
#include "standins/users_platform/scripted_endpoint.h"

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto testTimeout = 10s;
// The endless body of one response must end well before the deadline of a request.
constexpr auto maxTimeToEnd = 4s;
constexpr std::size_t megabyte = 1024 * 1024;

/// An endpoint_client_task and one endpoint, whose messages to the dispatcher are collected.
struct endless_endpoint
{
    event_loop loop;
    timer guard;
    scripted_endpoint endpoint;
    platform_adapter adapter;
    std::shared_ptr<mailbox<dispatch_message>> toDispatcher = std::make_shared<mailbox<dispatch_message>>(loop, 100000);
    std::shared_ptr<mailbox<endpoint_client_message>> toClient = std::make_shared<mailbox<endpoint_client_message>>(loop, 1000);
    endpoint_client_task endpointClient;
    std::vector<attempt_ended> ended;
    std::size_t expectedEnds = 1;

    endless_endpoint()
        : guard(loop, [this] { loop.stop(); })
        , endpoint(loop)
        , endpointClient(loop, toClient, adapter.dialects().endpoints, address(toDispatcher), {})
    {
        toDispatcher->attach([this](dispatch_message &&message) {
            if (auto *end = std::get_if<attempt_ended>(&message)) {
                ended.push_back(std::move(*end));
            }
            if (ended.size() == expectedEnds) {
                loop.stop();
            }
        });
    }

    void open(std::int64_t number, const std::string &target, byte_count maxResponse = response_limits::request)
    {
        open_attempt order;
        order.flow = flow_id(number);
        order.number = attempt_number(1);
        order.address = endpoint.address();
        order.request.target = target;
        order.request.headers = {{"Host", "h"}, {"X-Attempt-Id", "a" + std::to_string(number)}};
        order.expected = attempt_id("a" + std::to_string(number));
        order.maxResponse = maxResponse;
        CHECK(toClient->post(std::move(order)) == post_result::delivered);
    }

    void run(std::chrono::milliseconds time = testTimeout)
    {
        guard.start(deadline::after(boot_clock::now(), time));
        loop.run();
    }
};

std::string endlessHead(const http_request &request)
{
    return "HTTP/1.1 200 OK\r\nX-Server-Seal: seal\r\nX-Attempt-Id: " + std::string(request.headers.value("X-Attempt-Id")) + "\r\n\r\n";
}

} // namespace

TEST_GROUP(endless_body) {};

// Guards against an attempt that reads an endless body until the deadline of its request, on a connection that stays open.
TEST(endless_body, endsTheAttemptAsLostAndClosesTheConnection)
{
    endless_endpoint site;
    site.endpoint.setRequestHandler([](scripted_connection &from, const http_request &request) {
        from.write(endlessHead(request));
        from.writeEndlessly(std::string(megabyte / 16, 'a'));
    });
    const instant before = boot_clock::now();
    site.open(1, "/x");
    site.run();
    LONGS_EQUAL(1, site.ended.size());
    CHECK(boot_clock::now() - before < maxTimeToEnd);
    CHECK(site.ended.front().end == attempt_outcome::lost);
    CHECK(site.ended.front().response.body.size() < 9 * megabyte);
    STRCMP_EQUAL("response too large", site.ended.front().detail.c_str());
    site.run(100ms);
    LONGS_EQUAL(0, site.endpoint.openConnectionCount());
}

// Guards against calls whose sound response has thirty bytes, and which read eight megabytes of a spoiled one.
TEST(endless_body, endsACallAtTheLimitOfItsKind)
{
    endless_endpoint site;
    site.endpoint.setRequestHandler([](scripted_connection &from, const http_request &request) {
        from.write(endlessHead(request));
        from.writeEndlessly(std::string(megabyte / 64, 'a'));
    });
    site.open(1, "/x", response_limits::acknowledgement);
    site.run();
    LONGS_EQUAL(1, site.ended.size());
    CHECK(site.ended.front().end == attempt_outcome::lost);
    CHECK(site.ended.front().response.body.empty());
    site.run(100ms);
    LONGS_EQUAL(0, site.endpoint.openConnectionCount());
    // What the sockets on the way buffer.
    CHECK(site.endpoint.sentBytes() < 4 * megabyte);
}

// Guards against an instance that exceeds its memory because several endpoints, or one on many connections, write endless bodies at once.
// A response of ordinary size is not affected.
TEST(endless_body, limitsTheSumOfAllBufferedBodies)
{
    endless_endpoint site;
    constexpr std::int64_t calls = 20;
    site.expectedEnds = calls + 1;
    site.endpoint.setRequestHandler([&](scripted_connection &from, const http_request &request) {
        if (request.target == "/small") {
            from.write(scripted_endpoint::success(request, std::string(megabyte / 2, 's')));
            return;
        }
        from.write(endlessHead(request));
        from.writeEndlessly(std::string(megabyte / 16, 'a'));
    });
    for (std::int64_t number = 1; number <= calls; ++number) {
        site.open(number, "/x");
        if (number == calls / 2) {
            site.open(calls + 1, "/small");
        }
    }
    site.run();
    LONGS_EQUAL(calls + 1, site.ended.size());
    for (const attempt_ended &end : site.ended) {
        const bool isSmall = end.flow == flow_id(calls + 1);
        CHECK(end.end == (isSmall ? attempt_outcome::whole : attempt_outcome::lost));
    }
    // Each time the sum is reached, the largest response is dropped. Without the limit, each call reads eight megabytes.
    CHECK(site.endpoint.sentBytes() < 100 * megabyte);
}

// Guards against a call without a deadline whose response never ends; nothing waits for it, so nothing would ever close its connection.
TEST(endless_body, endsCallsWhoseResponseIsIgnored)
{
    for (const bool isSilent : {false, true}) {
        endless_endpoint site;
        site.endpoint.setRequestHandler([&](scripted_connection &from, const http_request &request) {
            if (!isSilent) {
                from.write(endlessHead(request));
                from.writeEndlessly(std::string(megabyte / 16, 'a'));
            }
        });
        fire_and_forget_call call;
        call.address = site.endpoint.address();
        call.request.method = "DELETE";
        call.request.target = "/x";
        CHECK(site.toClient->post(call) == post_result::delivered);
        site.run(maxTimeToEnd);
        LONGS_EQUAL(1, site.endpoint.connectionCount());
        LONGS_EQUAL(0, site.endpoint.openConnectionCount());
    }
}

// Guards against the memory that a response of the store or of an engine can take.
TEST(endless_body, endsASerialCallWithAnError)
{
    event_loop loop;
    scripted_endpoint endpoint(loop);
    endpoint.setRequestHandler([](scripted_connection &from, const http_request &request) {
        from.write(endlessHead(request));
        from.writeEndlessly(std::string(megabyte / 16, 'a'));
    });
    serial_http_client client(loop, endpoint.address());
    std::optional<outcome<http_response>> result;
    const instant before = boot_clock::now();
    client.begin({"GET", "/", {{"Host", "h"}}, ""},
                 deadline::after(before, testTimeout),
                 response_limits::records,
                 [&](outcome<http_response> response) {
                     result = std::move(response);
                     loop.stop();
                 });
    loop.run();
    CHECK_FALSE(result->has_value());
    CHECK(result->error().code == error_code::too_large);
    CHECK(boot_clock::now() - before < maxTimeToEnd);
    timer guard(loop, [&] { loop.stop(); });
    guard.start(deadline::after(boot_clock::now(), 100ms));
    loop.run();
    LONGS_EQUAL(0, endpoint.openConnectionCount());
    CHECK(endpoint.sentBytes() < 16 * megabyte);
}
