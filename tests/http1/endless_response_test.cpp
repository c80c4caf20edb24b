#include "http1/client_connection.h"

#include "runtime/timer.h"
#include "standins/users_platform/scripted_endpoint.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace burdockshelf;
using namespace std::chrono_literals;

namespace
{

constexpr auto testTimeout = 3s;
// More than the sockets of both sides buffer, and far below the memory of an instance.
constexpr std::size_t maxSentBytes = 16 * 1024 * 1024;

/// One exchange with a server that never ends its response.
struct endless_exchange
{
    event_loop loop;
    timer guard;
    scripted_endpoint server;
    std::optional<exchange_outcome> end;

    endless_exchange()
        : guard(loop, [this] { loop.stop(); })
        , server(loop)
    {
    }

    void run(client_connection &connection)
    {
        exchange_handlers handlers;
        handlers.acceptsResponse = [](const http_response &head) {
            return head.headers.value("Id") == "mine";
        };
        handlers.onHead = [](http_response &&, const message_framing &) {
        };
        handlers.onBody = [](std::string_view) {
        };
        handlers.onEnd = [this](exchange_outcome outcome) {
            end = outcome;
            loop.stop();
        };
        connection.send({"GET", "/", {}, ""}, std::move(handlers));
        wait(testTimeout);
    }

    void wait(std::chrono::milliseconds time)
    {
        guard.start(deadline::after(boot_clock::now(), time));
        loop.run();
    }

    // Runs an exchange in which the server writes the start once and then the rest without end.
    void checkEnds(const std::string &start, const std::string &rest)
    {
        server.setRequestHandler([&](scripted_connection &from, const http_request &) {
            from.write(start);
            from.writeEndlessly(rest);
        });
        client_connection connection(loop, server.address(), {});
        run(connection);
        CHECK_TRUE(end.has_value());
        CHECK(end != exchange_outcome::complete);
        CHECK_FALSE(connection.isReusable(boot_clock::now()));
        CHECK(server.sentBytes() < maxSentBytes);
    }
};

} // namespace

// Guards against exchanges that read on until the caller's deadline, because a faulty endpoint writes bytes that are no response without
// end. In each test the exchange must end by itself.
TEST_GROUP(endless_response)
{
    endless_exchange exchange;
};

TEST(endless_response, endsAtAHeadWithoutEnd)
{
    exchange.checkEnds("HTTP/1.1 200 OK\r\nX: ", std::string(1000, 'a'));
}

TEST(endless_response, endsAtHeaderFieldsWithoutEnd)
{
    exchange.checkEnds("HTTP/1.1 200 OK\r\n", "a:\r\n");
}

// A body that is announced as too large need not be read.
TEST(endless_response, endsAtALengthOverTheLimit)
{
    exchange.server.setRequestHandler([](scripted_connection &from, const http_request &) {
        from.write("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 1000000000\r\n\r\n");
    });
    client_connection connection(exchange.loop, exchange.server.address(), {});
    exchange.run(connection);
    CHECK(exchange.end == exchange_outcome::too_large);
}

TEST(endless_response, endsAtBlankLinesWithoutEnd)
{
    exchange.checkEnds("", "\r\n\r\n\r\n\r\n");
}

TEST(endless_response, endsAtAReasonPhraseWithoutEnd)
{
    exchange.checkEnds("HTTP/1.1 200 ", "OK OK OK ");
}

TEST(endless_response, endsAtInterimResponsesWithoutEnd)
{
    exchange.checkEnds("", "HTTP/1.1 100 Continue\r\n\r\n");
}

TEST(endless_response, endsAtResponsesToOtherRequestsWithoutEnd)
{
    exchange.checkEnds("", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 2\r\n\r\nok");
}

TEST(endless_response, endsAtABodyWithoutEndOfAnotherRequest)
{
    exchange.checkEnds("HTTP/1.1 200 OK\r\nId: other\r\n\r\n", std::string(1000, 'a'));
}

TEST(endless_response, endsAtAChunkExtensionWithoutEnd)
{
    exchange.checkEnds("HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n5;", std::string(1000, 'a'));
}

TEST(endless_response, endsAtATrailerWithoutEnd)
{
    exchange.checkEnds("HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX: ", std::string(1000, 'a'));
}

TEST(endless_response, endsAtTrailerFieldsWithoutEnd)
{
    exchange.checkEnds("HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "a: b\r\n");
}

// Guards against memory that grows while an idle connection waits for its next request.
TEST(endless_response, readsNothingMoreAfterSurplusBytes)
{
    exchange.server.setRequestHandler([&](scripted_connection &from, const http_request &) {
        from.write("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok");
        from.writeEndlessly(std::string(1000, 'a'));
    });
    client_connection connection(exchange.loop, exchange.server.address(), {});
    exchange.run(connection);
    CHECK(exchange.end == exchange_outcome::complete);
    exchange.wait(300ms);
    CHECK_FALSE(connection.isReusable(boot_clock::now()));
    CHECK(exchange.server.sentBytes() < maxSentBytes);
}

TEST(endless_response, readsNothingMoreOfBytesWithoutARequest)
{
    exchange.server.setRequestHandler(
        [&](scripted_connection &from, const http_request &) { from.write("HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok"); });
    client_connection connection(exchange.loop, exchange.server.address(), {});
    exchange.run(connection);
    CHECK_TRUE(connection.isReusable(boot_clock::now()));
    exchange.server.connection(0).writeEndlessly(std::string(1000, 'a'));
    exchange.wait(300ms);
    CHECK_FALSE(connection.isReusable(boot_clock::now()));
    CHECK(exchange.server.sentBytes() < maxSentBytes);
}
