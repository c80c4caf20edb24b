#include "http/http_client.h"
#include "http/http_server.h"

#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto guardTime = 20s;

/// A client and a server on one loop. The guard ends a test that would hang.
struct http_pair
{
    event_loop loop;
    std::vector<std::shared_ptr<http_exchange>> exchanges;
    std::function<void(const std::shared_ptr<http_exchange> &)> onRequest;
    http_server server;
    std::unique_ptr<http_client> client;
    timer guard;
    bool isTimedOut = false;

    http_pair()
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
        guard.start(deadline::after(boot_clock::now(), guardTime));
    }

    deadline soon() const
    {
        return deadline::after(boot_clock::now(), guardTime);
    }
};

http_request post(const std::string &target, const std::string &body)
{
    return {"POST", target, {{"Content-Type", "text/plain"}}, body};
}

} // namespace

TEST_GROUP(http) {};

// Guards against lost or changed parts of a plain call, also on a kept connection.
TEST(http, answersCallsOnAKeptConnection)
{
    http_pair pair;
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
                          pair.soon());
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

// Guards against a client that leaves unseen while its request waits for the first byte.
TEST(http, seesAClientLeaveWhileItsRequestWaits)
{
    http_pair pair;
    http_call_id call;
    bool isSeen = false;
    pair.onRequest = [&](const std::shared_ptr<http_exchange> &exchange) {
        exchange->setOnClosed([&] {
            isSeen = true;
            pair.loop.stop();
        });
        pair.client->cancel(call);
    };
    call = pair.client->send(post("/", "x"),
                             {nullptr,
                              nullptr,
                              [](const http_call_result &) {
                                  FAIL("a cancelled call ended");
                              }},
                             pair.soon());
    pair.loop.run();
    CHECK_TRUE(isSeen);
    CHECK_EQUAL(0U, pair.client->activeCalls());
}

// Guards against a client that leaves unseen while its answer streams.
TEST(http, seesAClientLeaveWhileItsAnswerStreams)
{
    http_pair pair;
    http_call_id call;
    bool isSeen = false;
    std::string received;
    pair.onRequest = [&](const std::shared_ptr<http_exchange> &exchange) {
        exchange->setOnClosed([&] {
            isSeen = true;
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
                                  FAIL("a cancelled call ended");
                              }},
                             pair.soon());
    pair.loop.run();
    CHECK_TRUE(isSeen);
    STRCMP_EQUAL("first", received.c_str());
}

// Guards against a cut stream that is taken for a whole answer.
TEST(http, tellsACutStreamFromAWholeOne)
{
    http_pair pair;
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
                      pair.soon());
    pair.loop.run();
    CHECK_TRUE(failure.has_value());
    CHECK_FALSE(failure->isNotSent);
    CHECK_TRUE(failure->cause.code == error_code::connection_lost);
}

// Guards against "not sent" being claimed for a request that the server may have read, and the reverse.
TEST(http, knowsWhetherARequestWasSent)
{
    http_pair pair;
    std::optional<http_call_error> refused;
    std::optional<http_call_error> late;
    http_client nobody(pair.loop, {"127.0.0.1", 1});
    nobody.send(post("/", "x"),
                {nullptr,
                 nullptr,
                 [&](const http_call_result &result) {
                     refused = result.error();
                 }},
                pair.soon());
    pair.client->send(post("/", "x"),
                      {nullptr,
                       nullptr,
                       [&](const http_call_result &result) {
                           late = result.error();
                           pair.loop.stop();
                       }},
                      deadline::after(boot_clock::now(), 300ms));
    pair.loop.run();
    CHECK_FALSE(pair.isTimedOut);
    CHECK_TRUE(refused.has_value() && refused->isNotSent);
    CHECK_TRUE(late.has_value() && !late->isNotSent);
    CHECK_TRUE(late->cause.code == error_code::deadline_exceeded);
}
