#include "gateway/serial_http_client.h"

#include "http/http_server.h"
#include "standins/users_platform/scripted_endpoint.h"
#include "support/response_samples.h"

#include <optional>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

/// A server that sends its response in parts, and a client with one call to it.
struct slow_response
{
    event_loop loop;
    timer guard {loop, [this] {
                     loop.stop();
                 }};
    std::shared_ptr<http_exchange> exchange;
    /// Negative for a server that sends the head only.
    int partsLeft = 0;
    timer nextPart {loop, [this] {
                        sendPart();
                    }};
    http_server server {loop, {}, [this](const std::shared_ptr<http_exchange> &accepted) {
                            exchange = accepted;
                            exchange->startStream(200, {});
                            sendPart();
                        }};
    serial_http_client client {loop, server.listen({"127.0.0.1", 0}).value(), deadline_scope::start_of_response};
    std::optional<bool> isComplete;
    std::size_t received = 0;

    void sendPart()
    {
        if (partsLeft < 0) {
            return;
        }
        exchange->sendData("part");
        if (--partsLeft == 0) {
            exchange->endStream();
            return;
        }
        nextPart.start(deadline::after(boot_clock::now(), 100ms));
    }

    void call(int parts, std::chrono::milliseconds timeout)
    {
        partsLeft = parts;
        guard.start(deadline::after(boot_clock::now(), 5s));
        client.begin({"GET", "/x", {}, ""},
                     deadline::after(boot_clock::now(), timeout),
                     byte_count(1024),
                     [this](const outcome<http_response> &response) {
                         isComplete = response.has_value();
                         received = response ? response.value().body.size() : 0;
                         loop.stop();
                     });
        loop.run();
    }
};

} // namespace

TEST_GROUP(serial_http_client) {};

// A configuration that takes longer to transfer than the deadline of its read was read again and again, and never came into force
// (rampa-hat-grown with 2800 more routes: CONFIG, DENIED).
TEST(serial_http_client, waitsForAResponseThatMakesProgress)
{
    slow_response slow;
    slow.call(12, 300ms);
    CHECK(slow.isComplete == std::optional<bool>(true));
    LONGS_EQUAL(48, slow.received);
}

// A connection that falls silent in the middle of a response must be noticed.
TEST(serial_http_client, givesUpAResponseThatStops)
{
    slow_response slow;
    const instant begun = boot_clock::now();
    slow.call(-1, 300ms);
    CHECK(slow.isComplete == std::optional<bool>(false));
    CHECK(boot_clock::now() - begun < 2s);
}

// The store, load reports and orders are read through this client. Guards against an invalid response that counts as an acknowledgement or
// as records, and against another call on its connection.
TEST(serial_http_client, failsAtAnInvalidResponse)
{
    event_loop loop;
    scripted_endpoint server(loop);
    std::string answer;
    server.setRequestHandler([&](scripted_connection &from, const http_request &) { from.write(answer); });
    serial_http_client client(loop, server.address(), deadline_scope::start_of_response);
    std::string accepted;
    const std::vector<response_sample> samples = invalidResponses();
    for (const response_sample &sample : samples) {
        answer = responseBytes(sample);
        client.begin(
            {"GET", "/x", {}, ""}, deadline::after(boot_clock::now(), 5s), byte_count(1024), [&](const outcome<http_response> &response) {
                const bool isTold = response.has_error() && response.error().code == error_code::connection_lost;
                accepted += isTold ? "" : sample.name + "\n";
                loop.stop();
            });
        loop.run();
    }
    STRCMP_EQUAL("", accepted.c_str());
    LONGS_EQUAL(samples.size(), server.connectionCount());
}
