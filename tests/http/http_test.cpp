#include "http/http_client.h"
#include "http/http_server.h"

#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto testTimeout = 20s;

/// A client and a server on one event loop. The guard timer stops a test that hangs.
struct client_server_pair
{
    event_loop loop;
    std::vector<std::shared_ptr<http_exchange>> exchanges;
    std::function<void(const std::shared_ptr<http_exchange> &)> onRequest;
    http_server server;
    std::unique_ptr<http_client> client;
    timer guard;
    bool isTimedOut = false;

    client_server_pair()
        : server(loop,
                 {},
                 [this](const std::shared_ptr<http_exchange> &exchange) {
                     exchanges.push_back(exchange);
                     if (onRequest) {
                         onRequest(exchange);
                     }
                 })
        , guard(loop, [this] {
            isTimedOut = true;
            loop.stop();
        })
    {
        const auto bound = server.listen({"127.0.0.1", 0});
        client = std::make_unique<http_client>(loop, bound.value());
        guard.start(deadline::after(boot_clock::now(), testTimeout));
    }

    deadline testDeadline() const
    {
        return deadline::after(boot_clock::now(), testTimeout);
    }
};

http_request post(const std::string &target, const std::string &body)
{
    return {"POST", target, {{"Content-Type", "text/plain"}}, body};
}

} // namespace

TEST_GROUP(http) {};

// Guards against lost or altered parts of a request or response, including on a reused connection.
TEST(http, completesCallsOnAReusedConnection)
{
    client_server_pair pair;
    pair.onRequest = [](const std::shared_ptr<http_exchange> &exchange) {
        exchange->respond({201, {{"X-Echo", "yes"}}, exchange->request().body + "!"});
    };
    std::vector<http_response> responses;
    const auto send = [&](auto &&self) -> void {
        pair.client->send(post("/a?b=c", "hello"),
                          {nullptr,
                           nullptr,
                           [&](http_call_result result) {
                               responses.push_back(result.value());
                               if (responses.size() == 2) {
                                   pair.loop.stop();
                               } else {
                                   self(self);
                               }
                           }},
                          pair.testDeadline());
    };
    send(send);
    pair.loop.run();
    CHECK_FALSE(pair.isTimedOut);
    CHECK_EQUAL(201, responses.at(1).status);
    STRCMP_EQUAL("hello!", responses.at(1).body.c_str());
    STRCMP_EQUAL("yes", std::string(responses.at(1).headers.value("x-echo")).c_str());
    STRCMP_EQUAL("/a", std::string(pair.exchanges.at(1)->request().path()).c_str());
    STRCMP_EQUAL("b=c", std::string(pair.exchanges.at(1)->request().query()).c_str());
}

// Guards against an undetected disconnect of a client that waits for the first byte of the response.
TEST(http, detectsADisconnectBeforeTheResponse)
{
    client_server_pair pair;
    http_call_id call;
    bool isDisconnectDetected = false;
    pair.onRequest = [&](const std::shared_ptr<http_exchange> &exchange) {
        exchange->setOnClosed([&] {
            isDisconnectDetected = true;
            pair.loop.stop();
        });
        pair.client->cancel(call);
    };
    call = pair.client->send(post("/", "x"),
                             {nullptr,
                              nullptr,
                              [](const http_call_result &) {
                                  FAIL("onDone was called for a cancelled call");
                              }},
                             pair.testDeadline());
    pair.loop.run();
    CHECK_TRUE(isDisconnectDetected);
    CHECK_EQUAL(0U, pair.client->activeCalls());
}

// Guards against an undetected disconnect of a client while the response is streamed.
TEST(http, detectsADisconnectDuringTheResponse)
{
    client_server_pair pair;
    http_call_id call;
    bool isDisconnectDetected = false;
    std::string received;
    pair.onRequest = [&](const std::shared_ptr<http_exchange> &exchange) {
        exchange->setOnClosed([&] {
            isDisconnectDetected = true;
            pair.loop.stop();
        });
        exchange->startStream(200, {});
        exchange->sendData("first");
    };
    call = pair.client->send(post("/", "x"),
                             {nullptr,
                              [&](std::string_view bytes) {
                                  received += bytes;
                                  pair.client->cancel(call);
                              },
                              [](const http_call_result &) {
                                  FAIL("onDone was called for a cancelled call");
                              }},
                             pair.testDeadline());
    pair.loop.run();
    CHECK_TRUE(isDisconnectDetected);
    STRCMP_EQUAL("first", received.c_str());
}

// Guards against a truncated stream that is reported as a complete response.
TEST(http, reportsATruncatedStreamAsAnError)
{
    client_server_pair pair;
    std::optional<http_call_error> failure;
    pair.onRequest = [&](const std::shared_ptr<http_exchange> &exchange) {
        exchange->startStream(200, {});
        exchange->sendData("part");
    };
    pair.client->send(post("/", "x"),
                      {nullptr,
                       [&](std::string_view) { pair.exchanges.at(0)->abort(); },
                       [&](const http_call_result &result) {
                           failure = result.has_error() ? std::optional(result.error()) : std::nullopt;
                           pair.loop.stop();
                       }},
                      pair.testDeadline());
    pair.loop.run();
    CHECK_TRUE(failure.has_value());
    CHECK_FALSE(failure->isNotSent);
    CHECK_TRUE(failure->cause.code == error_code::connection_lost);
}

// Guards against reporting a request as not sent although the server may have read it, and the reverse.
TEST(http, reportsWhetherARequestWasSent)
{
    client_server_pair pair;
    std::optional<http_call_error> refusedError;
    std::optional<http_call_error> timeoutError;
    http_client unreachableClient(pair.loop, {"127.0.0.1", 1});
    unreachableClient.send(post("/", "x"),
                           {nullptr,
                            nullptr,
                            [&](const http_call_result &result) {
                                refusedError = result.error();
                            }},
                           pair.testDeadline());
    pair.client->send(post("/", "x"),
                      {nullptr,
                       nullptr,
                       [&](const http_call_result &result) {
                           timeoutError = result.error();
                           pair.loop.stop();
                       }},
                      deadline::after(boot_clock::now(), 300ms));
    pair.loop.run();
    CHECK_FALSE(pair.isTimedOut);
    CHECK_TRUE(refusedError.has_value() && refusedError->isNotSent);
    CHECK_TRUE(timeoutError.has_value() && !timeoutError->isNotSent);
    CHECK_TRUE(timeoutError->cause.code == error_code::deadline_exceeded);
}
