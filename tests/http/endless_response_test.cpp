#include "http/http_client.h"
#include "standins/users_platform/scripted_endpoint.h"

#include <csignal>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

// Far more than the limits of the calls and what the sockets on the way buffer.
constexpr std::size_t maxSentBytes = 24 * 1024 * 1024;
constexpr std::size_t maxFaultBytes = 64 * 1024 * 1024;
constexpr auto callLimit = 10s;
constexpr byte_count maxBody {1024 * 1024};

/// A server that never ends its responses, and the calls to it.
struct endless_calls
{
    event_loop loop;
    scripted_endpoint server {loop};
    http_client client {loop, server.address()};
    timer pauseEnd {loop, [this] {
                        loop.stop();
                    }};
    std::vector<http_call_result> results;
    std::size_t expected = 1;

    endless_calls()
    {
        // The client closes connections on which the server still sends.
        std::signal(SIGPIPE, SIG_IGN);
    }

    void respondWith(const std::string &start, const std::string &rest)
    {
        server.setRequestHandler([start, rest](scripted_connection &from, const http_request &) {
            from.write(start);
            from.writeEndlessly(rest, maxFaultBytes);
        });
    }

    void call(bool isStream)
    {
        http_call_handlers handlers;
        handlers.maxBody = maxBody;
        if (isStream) {
            handlers.onData = [](std::string_view) {
            };
        }
        handlers.onDone = [this](http_call_result result) {
            results.push_back(std::move(result));
            if (results.size() == expected) {
                loop.stop();
            }
        };
        client.send({"GET", "/", {}, ""}, std::move(handlers), deadline::after(boot_clock::now(), callLimit));
    }

    // A head that is too long is not told from one that is malformed.
    void checkEndsAtHead(const std::string &start, const std::string &rest)
    {
        checkEnds(start, rest, false, error_code::connection_lost);
    }

    // A call must end by itself, and its connection must be closed.
    void checkEnds(const std::string &start, const std::string &rest, bool isStream = false, error_code cause = error_code::too_large)
    {
        respondWith(start, rest);
        call(isStream);
        loop.run();
        CHECK_TRUE(results.at(0).has_error());
        CHECK_TEXT(results.at(0).error().cause.code == cause, results.at(0).error().cause.message.c_str());
        CHECK_FALSE(results.at(0).error().isNotSent);
        pauseEnd.start(deadline::after(boot_clock::now(), 100ms));
        loop.run();
        LONGS_EQUAL(0, server.openConnectionCount());
        CHECK(server.sentBytes() < maxSentBytes);
    }
};

const std::string filler(1000, 'a');

} // namespace

// Guards against a response without an end, in a head or in a body, that the product's own client keeps until its memory is used up.
TEST_GROUP(endless_response)
{
    endless_calls calls;
};

TEST(endless_response, endsAtAStatusLineWithoutEnd)
{
    calls.checkEndsAtHead("HTTP/1.1 200 ", filler);
}

TEST(endless_response, endsAtAHeaderFieldWithoutEnd)
{
    calls.checkEndsAtHead("HTTP/1.1 200 OK\r\nX: ", filler);
}

TEST(endless_response, endsAtHeaderFieldsWithoutEnd)
{
    calls.checkEndsAtHead("HTTP/1.1 200 OK\r\n", "a: b\r\n");
}

TEST(endless_response, endsAtInterimResponsesWithoutEnd)
{
    calls.checkEnds("", "HTTP/1.1 100 Continue\r\nX: " + filler + "\r\n\r\n");
}

TEST(endless_response, endsAtABodyWithoutLength)
{
    calls.checkEnds("HTTP/1.1 200 OK\r\n\r\n", filler);
}

TEST(endless_response, endsAtABodyWithAGreatLength)
{
    calls.checkEnds("HTTP/1.1 200 OK\r\nContent-Length: 1000000000\r\n\r\n", filler);
}

TEST(endless_response, endsAtChunksWithoutEnd)
{
    calls.checkEnds("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "1\r\nx\r\n");
}

TEST(endless_response, endsAtOneGreatChunk)
{
    calls.checkEnds("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3fffffff\r\n", filler);
}

TEST(endless_response, endsAtOneGreatChunkOfAStream)
{
    calls.checkEnds("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3fffffff\r\n", filler, true);
}

TEST(endless_response, endsAtAChunkExtensionWithoutEnd)
{
    calls.checkEnds("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", filler);
    calls.results.clear();
    calls.checkEnds("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;", filler, true);
}

TEST(endless_response, endsAtATrailerWithoutEnd)
{
    calls.checkEnds("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", filler);
}

// Many calls to one faulty server add up.
TEST(endless_response, limitsTheSumOfAllCalls)
{
    // Each response stays just below the limit of its call, and never ends. Those that remain may hold 32 MB.
    constexpr std::size_t count = 100;
    constexpr std::size_t maxRemaining = 33;
    calls.server.setRequestHandler([](scripted_connection &from, const http_request &) {
        from.write("HTTP/1.1 200 OK\r\n\r\n");
        from.writeEndlessly(filler, static_cast<std::size_t>(maxBody.value()) - 2 * filler.size());
    });
    calls.expected = count - maxRemaining;
    for (std::size_t i = 0; i < count; ++i) {
        calls.call(false);
    }
    calls.loop.run();
    for (const http_call_result &ended : calls.results) {
        CHECK(ended.error().cause.code == error_code::too_large);
    }
}

// A response at the limits must pass.
TEST(endless_response, isToldFromALargeResponse)
{
    const std::string body(static_cast<std::size_t>(maxBody.value()), 'b');
    calls.server.setRequestHandler([&](scripted_connection &from, const http_request &) {
        from.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX: " + std::string(30'000, 'x')
                   + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    calls.call(false);
    calls.loop.run();
    CHECK_TRUE(calls.results.at(0).has_value());
    LONGS_EQUAL(body.size(), calls.results.at(0).value().body.size());
}
